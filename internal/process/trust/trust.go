// Package trust keeps the certificate authority of the fleet in the store.
//
// The first node that starts makes the authority and writes it under the
// condition that there is none; every other node reads it and issues its own
// certificate. Who can read the store can therefore join the fleet, and nobody
// else.
//
// # Usage
//
//	k := &trust.Keeper{Store: client, Name: name, IP: ip}
//	err := k.Load(ctx)
//	l := &link.Link{TLS: k.Config}
package trust

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/store"
)

// The row that holds the authority.
const (
	Table = "fleet"
	key   = "authority"
)

// reissueAfter is half the life of a node's certificate.
const reissueAfter = link.CertLife / 2

// Keeper holds the authority and this node's certificate. Set the exported
// fields before Load; it is safe for concurrent use.
type Keeper struct {
	Store *store.Client
	Name  string
	IP    net.IP
	Log   *log.Logger

	mu        sync.Mutex
	authority *link.Authority
	config    *tls.Config
	issued    time.Time
}

// Load reads the authority, or makes it where there is none. Two nodes that do
// so at once end with the same one.
func (k *Keeper) Load(ctx context.Context) error {
	row, found, err := k.Store.Get(ctx, Table, key)
	if err != nil {
		return err
	}
	if !found {
		if row, err = k.create(ctx); err != nil {
			return err
		}
	}
	authority, err := link.ParseAuthority(row.Value)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.authority = authority
	return k.issue()
}

// create writes a new authority. When the outcome is unknown the caller reads
// again.
func (k *Keeper) create(ctx context.Context) (store.Row, error) {
	fresh, err := link.NewAuthority()
	if err != nil {
		return store.Row{}, err
	}
	value, err := fresh.Encode()
	if err != nil {
		return store.Row{}, err
	}
	result, err := k.Store.Transact(ctx,
		[]store.Check{{Table: Table, Key: key}}, []store.Write{{Table: Table, Key: key, Value: value}})
	switch {
	case err != nil:
		return store.Row{}, err
	case result.Applied:
		return store.Row{Key: key, Value: value}, nil
	case len(result.Conflicts) == 1:
		return result.Conflicts[0], nil
	}
	return store.Row{}, eris.New("the store refused the authority and shows no other")
}

// LedgerKey returns the key that signs the fleet's ledger, which follows from
// the authority's.
func (k *Keeper) LedgerKey() ed25519.PrivateKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	seed := k.authority.Derive("ledger")
	return ed25519.NewKeyFromSeed(seed[:])
}

func (k *Keeper) issue() error {
	config, err := k.authority.Issue(k.Name, k.IP)
	if err != nil {
		return err
	}
	k.config, k.issued = config, time.Now()
	return nil
}

// Config returns this node's certificate and whom it trusts. It issues a new
// certificate when half of the life of the last one is over.
func (k *Keeper) Config() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.issued) > reissueAfter {
		if err := k.issue(); err != nil {
			k.Log.Error("certificate_not_issued", "error", err)
		}
	}
	return k.config
}
