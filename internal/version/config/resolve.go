package config

import (
	"strings"

	"goldcrestwick/internal/process/ident"
)

// resolve replaces the names in a team's sections with references and checks
// the constraints that span several sections.
func (b *builder) resolve(d *document, team *Team, sectionOf map[any]string) {
	tiers := b.resolveTiers(d, team, sectionOf)
	pools := b.resolvePools(d, team, sectionOf)
	b.resolveAccounts(d, team, sectionOf, tiers)
	for _, e := range team.Endpoints {
		loc := location{sectionOf[e], "pool"}
		e.Pool = resolveName(d, loc, "pool", e.poolName, pools)
	}
	for _, r := range team.Rules {
		r.Tier = resolveName(d, location{sectionOf[r], "tier"}, "tier", r.tierName, tiers)
		if r.Pool != "" {
			resolveName(d, location{sectionOf[r], "pool"}, "pool", r.Pool, pools)
		}
		if r.Account != "" && b.tree.accounts[ident.ClientAccount(string(team.ID)+"/"+r.Account)] == nil {
			d.addFinding(location{sectionOf[r], "account"}, unresolvedProblem("account", r.Account))
		}
	}
}

// resolveName returns the object of the team with the given name, or nil with a
// finding. An empty name is not reported; setFields has done so.
func resolveName[T any](d *document, loc location, kind, name string, byName map[string]*T) *T {
	found := byName[name]
	if found == nil && name != "" {
		d.addFinding(loc, unresolvedProblem(kind, name))
	}
	return found
}

// unresolvedProblem describes a name that the team does not define. A name with
// a slash belongs to another team.
func unresolvedProblem(kind, name string) string {
	if strings.Contains(name, "/") {
		return "the " + kind + " " + name + " is outside the team's subtree"
	}
	return "there is no [" + kind + "." + name + "]"
}

func (b *builder) resolveTiers(d *document, team *Team, sectionOf map[any]string) map[string]*Tier {
	tiers := map[string]*Tier{}
	ranks := map[ident.Tier]string{}
	for _, t := range team.Tiers {
		tiers[t.Name] = t
		if other, ok := ranks[t.Rank]; ok {
			d.addFinding(location{sectionOf[t], "rank"}, "the rank is used by tier "+other+" already")
		}
		ranks[t.Rank] = t.Name
	}
	return tiers
}

func (b *builder) resolvePools(d *document, team *Team, sectionOf map[any]string) map[string]*Pool {
	pools := map[string]*Pool{}
	for _, p := range team.Pools {
		pools[poolNameInTeam(p.ID)] = p
		b.tree.pools[p.ID] = p
		b.registerPool(d, p, sectionOf[p])
		for _, text := range p.nonIdempotentTexts {
			op, ok := parseOperation(text)
			if !ok {
				d.addFinding(location{sectionOf[p], "non_idempotent"}, "\""+text+"\" is not METHOD /path")
			}
			p.NonIdempotent = append(p.NonIdempotent, op)
		}
	}
	return pools
}

// registerPool adds the pool to the index of its model or service name.
func (b *builder) registerPool(d *document, p *Pool, section string) {
	byName, name, key, unused := b.tree.poolsByModel, p.Model, "model", p.Service
	if p.Kind == ident.ApplicationRunner {
		byName, name, key, unused = b.tree.poolsByService, p.Service, "service", p.Model
	}
	if name == "" {
		d.addFinding(location{section: section}, "a pool of "+p.Kind.String()+"s needs the key "+key)
		return
	}
	if unused != "" {
		d.addFinding(location{section: section}, "a pool of "+p.Kind.String()+"s takes only the key "+key+", not both model and service")
	}
	for _, q := range byName[name] {
		if q.Team == p.Team {
			d.addFinding(location{section, key}, "pool "+poolNameInTeam(q.ID)+" has this "+key+" already")
		}
	}
	byName[name] = append(byName[name], p)
}

func (b *builder) resolveAccounts(d *document, team *Team, sectionOf map[any]string, tiers map[string]*Tier) {
	for _, a := range team.Accounts {
		section := sectionOf[a]
		a.Tier = resolveName(d, location{section, "tier"}, "tier", a.tierName, tiers)
		b.tree.accounts[a.ID] = a
		if first, ok := b.keyOwners[a.KeyHash]; ok && a.KeyHash != [sha256Bytes]byte{} {
			d.addFinding(location{section, "key_sha256"}, "the key is used by "+first+" already")
			continue
		}
		b.keyOwners[a.KeyHash] = string(a.ID)
		b.tree.accountsByKeyHash[a.KeyHash] = a
	}
}
