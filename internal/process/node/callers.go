package node

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/request/relay"
	"goldcrestwick/internal/version/config"
)

const (
	// minAddresses keeps a caller from depending on one node or one zone.
	minAddresses = 3
	// spreadFactor times an account's share of the weights is the share of
	// the nodes that it uses.
	spreadFactor = 2.0
	// resumeLife is how long a resume token can be used.
	resumeLife = time.Hour
)

// addresses picks the entry nodes for an account: as many as its weight asks
// for, by rendezvous hashing, so that a node that goes moves only its own
// callers; those of the caller's zone come first, in an order that differs
// between calls so that they share the load.
func (n *Node) addresses(account *config.Account, zone ident.AvailabilityZone) []front.Address {
	if zone == "" {
		zone = n.Process.Zone
	}
	ready := n.members.View().Ready(n.Process.Region)
	count := min(n.addressCount(account, len(ready)), len(ready))
	ranked := member.Ranked(ready, "addresses/"+string(account.ID))
	chosen := ranked[:count:count]
	if !hasOtherZone(chosen) {
		// The last one makes room for another zone, so that a zone that is
		// lost does not take the account with it.
		for _, m := range ranked[count:] {
			if m.Zone != chosen[0].Zone {
				chosen[count-1] = m
				break
			}
		}
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	var own, others []front.Address
	for _, m := range chosen {
		a := front.Address{Node: m.ID, Address: m.CallerAddress, Zone: m.Zone}
		if m.Zone == zone {
			own = append(own, a)
			continue
		}
		others = append(others, a)
	}
	return append(own, others...)
}

func (n *Node) addressCount(account *config.Account, nodes int) int {
	sum := 0
	for _, team := range n.tree.Load().Teams {
		for _, a := range team.Accounts {
			sum += a.Weight
		}
	}
	share := spreadFactor * float64(account.Weight) / float64(max(sum, 1))
	return max(int(math.Ceil(share*float64(nodes))), minAddresses)
}

func hasOtherZone(members []member.Member) bool {
	for _, m := range members {
		if m.Zone != members[0].Zone {
			return true
		}
	}
	return len(members) == 0
}

// token is what a resume token says.
type token struct {
	Account  string `json:"account"`
	Pool     string `json:"pool"`
	Endpoint string `json:"endpoint"`
	Request  string `json:"request"`
	Form     uint8  `json:"form"`
	Expires  int64  `json:"expires_unix"`
}

// resumeToken makes a token that any node can check with the shared key.
func (n *Node) resumeToken(p front.ResumePoint) string {
	raw, err := json.Marshal(token{
		string(p.Account), string(p.Pool), string(p.Endpoint), string(p.Request), uint8(p.Form),
		time.Now().Add(resumeLife).Unix(),
	})
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return base64.RawURLEncoding.EncodeToString(append(n.sign(raw), raw...))
}

func (n *Node) sign(raw []byte) []byte {
	mac := hmac.New(sha256.New, n.resumeKey)
	mac.Write(raw)
	return mac.Sum(nil)
}

func (n *Node) readToken(text string) (token, bool) {
	var t token
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < sha256.Size {
		return t, false
	}
	body := raw[sha256.Size:]
	if !hmac.Equal(raw[:sha256.Size], n.sign(body)) || json.Unmarshal(body, &t) != nil {
		return t, false
	}
	return t, time.Now().Unix() < t.Expires
}

// resume takes the answer of a run up at its endpoint, for a caller whose
// entry node died.
func (n *Node) resume(ctx context.Context, account ident.ClientAccount, text string, from int, sinker front.Sinker) *refuse.Refusal {
	t, ok := n.readToken(text)
	if !ok || t.Account != string(account) {
		return refuse.Uncertain(refuse.BadResume, "the resume token is not valid for this account")
	}
	pool := n.tree.Load().Pool(ident.PoolID(t.Pool))
	address := n.cells.Roster().Address(ident.Endpoint(t.Endpoint))
	if pool == nil || address == "" {
		return refuse.Uncertain(refuse.OutcomeGone, "the endpoint that ran the request is gone")
	}
	id := ident.RequestID(t.Request)
	run := &relay.Run{
		Client: n.Client, Address: address, Endpoint: ident.Endpoint(t.Endpoint),
		Request: &intake.Request{ID: id}, Sink: sinker(id, pool.Model, intake.Form(t.Form)),
	}
	return run.Resume(ctx, from).Refusal
}
