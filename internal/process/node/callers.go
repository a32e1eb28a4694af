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
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/request/relay"
	"goldcrestwick/internal/version/config"
)

const (
	// minAddresses is the least number of entry nodes for an account if as many are
	// ready, so that a caller depends on no single node or zone.
	minAddresses = 3
	// An account with a fraction f of the sum of all weights uses at least
	// spreadFactor*f of the nodes.
	spreadFactor = 2.0
	// resumeTokenLifetime is how long a resume token is valid.
	resumeTokenLifetime = time.Hour
)

// addresses returns the entry nodes for an account. Their number follows from
// the account's weight, and they are chosen by rendezvous hashing, so that the
// loss of a node moves only its own callers. Nodes in the caller's zone come
// first; the order within each group is random to spread the load.
func (n *Node) addresses(account *config.Account, zone ident.AvailabilityZone) []front.Address {
	if zone == "" {
		zone = n.Process.Zone
	}
	serving := n.members.View().Serving(n.Process.Region)
	count := min(n.addressCount(account, len(serving)), len(serving))
	ranked := member.Ranked(serving, "addresses/"+string(account.ID))
	chosen := ranked[:count:count]
	if !hasOtherZone(chosen) {
		// Replaces the last node by one in another zone, so that the loss of one
		// zone leaves the account an entry node.
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

// hasOtherZone reports whether any member is in another zone than the first. It
// returns true for an empty list, so that addresses does not look for a
// replacement: there is no member to replace.
func hasOtherZone(members []member.Member) bool {
	for _, m := range members {
		if m.Zone != members[0].Zone {
			return true
		}
	}
	return len(members) == 0
}

// resumeToken is the signed payload of a resume token.
type resumeToken struct {
	Account  string `json:"account"`
	Pool     string `json:"pool"`
	Endpoint string `json:"endpoint"`
	Request  string `json:"request"`
	Form     uint8  `json:"form"`
	Expires  int64  `json:"expires_unix"`
}

// newResumeToken returns a token that any node can verify with the shared key: the
// signature and the JSON of the payload, in base64.
func (n *Node) newResumeToken(p front.ResumePoint) string {
	raw, err := json.Marshal(resumeToken{
		string(p.Account), string(p.Pool), string(p.Endpoint), string(p.Request), uint8(p.Form),
		time.Now().Add(resumeTokenLifetime).Unix(),
	})
	if err != nil {
		panic(err) // encoding strings and numbers cannot fail.
	}
	return base64.RawURLEncoding.EncodeToString(append(n.sign(raw), raw...))
}

func (n *Node) sign(raw []byte) []byte {
	mac := hmac.New(sha256.New, n.resumeKey)
	mac.Write(raw)
	return mac.Sum(nil)
}

// parseResumeToken returns the payload of a resume token. It reports false if the
// token is malformed, its signature is wrong or it has expired.
func (n *Node) parseResumeToken(text string) (resumeToken, bool) {
	var t resumeToken
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

// resume continues an answer, after an offset in tokens, from the endpoint that
// runs its request, for a caller whose entry node failed.
func (n *Node) resume(ctx context.Context, account ident.ClientAccount, text string, fromToken int, newSink front.SinkFactory) *refuse.Refusal {
	t, ok := n.parseResumeToken(text)
	if !ok || t.Account != string(account) {
		return refuse.NewMayHaveRun(refuse.BadResumeToken, "the resume token is not valid for this account")
	}
	pool := n.tree.Load().Pool(ident.PoolID(t.Pool))
	address := n.cells.Roster().Address(ident.Endpoint(t.Endpoint))
	if pool == nil || address == "" {
		return refuse.NewMayHaveRun(refuse.OutcomeNoLongerHeld, "the endpoint that ran the request is gone")
	}
	id := ident.RequestID(t.Request)
	run := &relay.Run{
		Client: n.Client, Address: address, Endpoint: ident.Endpoint(t.Endpoint),
		Request: &intake.Request{ID: id}, Sink: newSink(id, pool.Model, intake.Form(t.Form)),
	}
	return run.Resume(ctx, fromToken).Refusal
}
