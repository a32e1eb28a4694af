package config

import (
	"strings"

	"goldcrestwick/internal/request/ident"
)

// resolve turns the names that a team's sections give into references and
// checks what one section alone cannot show.
func (b *builder) resolve(d *document, team *Team, places map[any]string) {
	tiers := b.resolveTiers(d, team, places)
	pools := b.resolvePools(d, team, places)
	b.resolveAccounts(d, team, places, tiers)
	for _, e := range team.Endpoints {
		at := place{places[e], "pool"}
		e.Pool = lookUp(d, at, "pool", e.poolName, pools)
	}
	for _, r := range team.Rules {
		r.Tier = lookUp(d, place{places[r], "tier"}, "tier", r.tierName, tiers)
		if r.Pool != "" {
			lookUp(d, place{places[r], "pool"}, "pool", r.Pool, pools)
		}
		if r.Account != "" && b.tree.accounts[ident.ClientAccount(string(team.ID)+"/"+r.Account)] == nil {
			d.add(place{places[r], "account"}, missing("account", r.Account))
		}
	}
}

// lookUp finds a name among a team's own things; a name with a slash belongs
// to another team.
func lookUp[T any](d *document, at place, kind, name string, all map[string]*T) *T {
	found := all[name]
	if found == nil && name != "" {
		d.add(at, missing(kind, name))
	}
	return found
}

func missing(kind, name string) string {
	if strings.Contains(name, "/") {
		return "the " + kind + " " + name + " is outside the team's subtree"
	}
	return "there is no [" + kind + "." + name + "]"
}

func (b *builder) resolveTiers(d *document, team *Team, places map[any]string) map[string]*Tier {
	tiers := map[string]*Tier{}
	ranks := map[ident.Tier]string{}
	for _, t := range team.Tiers {
		tiers[t.Name] = t
		if other, ok := ranks[t.Rank]; ok {
			d.add(place{places[t], "rank"}, "the rank is that of tier "+other+" already")
		}
		ranks[t.Rank] = t.Name
	}
	return tiers
}

func (b *builder) resolvePools(d *document, team *Team, places map[any]string) map[string]*Pool {
	pools := map[string]*Pool{}
	for _, p := range team.Pools {
		pools[shortName(p.ID)] = p
		b.tree.pools[p.ID] = p
		b.namePool(d, p, places[p])
		for _, text := range p.operations {
			op, ok := parseOperation(text)
			if !ok {
				d.add(place{places[p], "non_idempotent"}, "\""+text+"\" is not METHOD /path")
			}
			p.NonIdempotent = append(p.NonIdempotent, op)
		}
	}
	return pools
}

// namePool files the pool under its model or its service.
func (b *builder) namePool(d *document, p *Pool, section string) {
	named, name, key, other := b.tree.models, p.Model, "model", p.Service
	if p.Kind == ident.ApplicationRunner {
		named, name, key, other = b.tree.services, p.Service, "service", p.Model
	}
	if name == "" {
		d.add(place{section: section}, "a pool of "+p.Kind.String()+"s needs the key "+key)
		return
	}
	if other != "" {
		d.add(place{section: section}, "a pool of "+p.Kind.String()+"s takes "+key+" and not the other name")
	}
	for _, q := range named[name] {
		if q.Team == p.Team {
			d.add(place{section, key}, "pool "+shortName(q.ID)+" has this "+key+" already")
		}
	}
	named[name] = append(named[name], p)
}

func (b *builder) resolveAccounts(d *document, team *Team, places map[any]string, tiers map[string]*Tier) {
	for _, a := range team.Accounts {
		section := places[a]
		a.Tier = lookUp(d, place{section, "tier"}, "tier", a.tierName, tiers)
		b.tree.accounts[a.ID] = a
		if first, ok := b.keyPlaces[a.KeyHash]; ok && a.KeyHash != [hashBytes]byte{} {
			d.add(place{section, "key_sha256"}, "the key is that of "+first+" already")
			continue
		}
		b.keyPlaces[a.KeyHash] = string(a.ID)
		b.tree.byKey[a.KeyHash] = a
	}
}
