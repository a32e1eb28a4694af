package store

import (
	"context"
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
)

// instanceTable is the store's table of instances, with one instanceRow in JSON per
// row.
const instanceTable = "instances"

type instanceRow struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	State      string `json:"state"`
	Region     string `json:"region"`
	Zone       string `json:"availability_zone"`
	Address    string `json:"address"`
	Peer       string `json:"peer_address"`
	Endpoint   string `json:"endpoint"`
	Pool       string `json:"pool"`
	Generation string `json:"generation"`
}

const (
	kindEntry    = "entry"
	stateLeaving = "leaving"
)

func (r instanceRow) instance() roster.Instance {
	return roster.Instance{
		ID: r.ID, IsNode: r.Kind == kindEntry, Leaving: r.State == stateLeaving,
		Region: ident.Region(r.Region), Zone: ident.AvailabilityZone(r.Zone),
		Address: r.Address, PeerAddress: r.Peer, Endpoint: ident.Endpoint(r.Endpoint),
		Pool: ident.PoolID(r.Pool), Generation: r.Generation,
	}
}

// ListInstances returns the entry nodes of all regions and the endpoints of one region.
// changed reports whether the list differs from that of the previous call; it is
// also true as long as the list is empty. If the table cannot be read, the previous list is
// returned; rows that cannot be decoded are left out. Both are errors.
func (c *Client) ListInstances(ctx context.Context, region ident.Region) (list []roster.Instance, changed bool, err error) {
	var rows []Row
	err = withBreaker(&c.instanceBreaker, func() error {
		rows, _, err = c.Service.Scan(ctx, instanceTable)
		return err
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return c.list, false, err
	}
	for _, r := range rows {
		var row instanceRow
		if e := json.Unmarshal(r.Value, &row); e != nil {
			err = eris.Wrapf(e, "decode instance row %s", r.Key)
			continue
		}
		if row.Kind == kindEntry || row.Region == string(region) {
			list = append(list, row.instance())
		}
	}
	changed = c.list == nil || !reflect.DeepEqual(list, c.list)
	c.list = list
	return list, changed, err
}
