package lint

import (
	"net/netip"
	"strings"

	"goldcrestwick/internal/process/ident"
)

const (
	// minBurstSeconds is the time whose allowance a burst is to hold at least; a smaller
	// one refuses requests of an account that keeps to its rate.
	minBurstSeconds = 0.1
	// defaultBurstSeconds is the time whose allowance is the burst of accounts that state
	// none, as in package quota.
	defaultBurstSeconds = 1
	// maxLabelBytes bounds a label of a DNS name (RFC 1035, section 2.3.4).
	maxLabelBytes = 63
)

// Check returns all faults of the configuration, in the order of its entries.
func Check(c Config) []Finding {
	var r report
	r.checkRoutes(c)
	r.checkServices(c)
	r.checkAccounts(c.Accounts)
	if c.Limits.HeaderBytes > c.Limits.BodyBytes {
		r.add(Warning, "limits.header_bytes", "%d exceeds the %d bytes of a body", c.Limits.HeaderBytes, c.Limits.BodyBytes)
	}
	return r.findings
}

// nameChecker reports empty names and names that occurred before in one list.
type nameChecker map[string]Location

func (n nameChecker) check(r *report, at Location, name string) {
	first, isKnown := n[name]
	switch {
	case name == "":
		r.add(Error, at.field("name"), "the name is empty")
	case isKnown:
		r.add(Error, at.field("name"), "the name %q is the same as that of %s", name, first)
	default:
		n[name] = at
	}
}

func (r *report) checkRoutes(c Config) {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	type target struct{ host, prefix string }
	names, targets := nameChecker{}, map[target]Location{}
	for i, route := range c.Routes {
		at := Location("routes").index(i)
		names.check(r, at, route.Name)
		r.checkTarget(at, route)
		t := target{strings.ToLower(route.Host), route.Prefix}
		if first, ok := targets[t]; ok {
			r.add(Warning, at, "never matches: %s has the same host and prefix", first)
		} else {
			targets[t] = at
		}
		r.checkRouteLimits(at, route)
		r.checkShares(at, route, services)
	}
}

// checkTarget checks which requests match the route.
func (r *report) checkTarget(at Location, route Route) {
	switch {
	case route.Host == "":
		r.add(Error, at.field("host"), "the host is empty")
	case !isHost(route.Host):
		r.add(Warning, at.field("host"), "never matches: %q is not a DNS name or an IP address without a port", route.Host)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		r.add(Error, at.field("prefix"), "the prefix %q does not begin and end with a slash", route.Prefix)
	}
	switch route.Kind {
	case Idempotent, NonIdempotent, Stream:
	default:
		r.add(Error, at.field("kind"), "unknown kind %q, expected %s, %s or %s", string(route.Kind), Idempotent, NonIdempotent, Stream)
	}
}

// isHost reports whether a request can name the host. Ports are removed from the hosts of
// requests before they are compared.
func isHost(host string) bool {
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return true
	}
	for label := range strings.SplitSeq(strings.TrimSuffix(host, "."), ".") {
		if label == "" || len(label) > maxLabelBytes {
			return false
		}
		for _, c := range label {
			isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
			if !isLetter && (c < '0' || c > '9') && c != '-' && c != '_' {
				return false
			}
		}
	}
	return true
}

func (r *report) checkRouteLimits(at Location, route Route) {
	if route.Timeout <= 0 {
		r.add(Error, at.field("timeout"), "the timeout is missing or not above 0")
	} else {
		if route.LatencyTarget > route.Timeout {
			r.add(Warning, at.field("latency_target"), "%d ms exceed the timeout of %d ms", route.LatencyTarget, route.Timeout)
		}
		if route.EventGapTarget > route.Timeout {
			r.add(Warning, at.field("event_gap_target"), "%d ms exceed the timeout of %d ms", route.EventGapTarget, route.Timeout)
		}
	}
	if route.Attempts > 1 && route.Kind == NonIdempotent {
		r.add(Warning, at.field("attempts"), "%d attempts, but requests of this kind are not sent again once they may have run", route.Attempts)
	}
	if route.Kind != Stream {
		if route.Resumable {
			r.add(Warning, at.field("resumable"), "applies to streams only")
		}
		if route.EventGapTarget != 0 {
			r.add(Warning, at.field("event_gap_target"), "applies to streams only")
		}
	}
	r.checkPriority(at, route.Priority)
}

func (r *report) checkPriority(at Location, priority int) {
	if clamped := min(max(priority, 0), ident.MaxTiers-1); clamped != priority {
		r.add(Warning, at.field("priority"), "%d is outside 0 to %d and counts as %d", priority, ident.MaxTiers-1, clamped)
	}
}

func (r *report) checkShares(at Location, route Route, services map[string]bool) {
	if len(route.Shares) == 0 && !services[route.Service] {
		r.add(Error, at.field("service"), "there is no service %q", route.Service)
	}
	for i, s := range route.Shares {
		share := at.field("shares").index(i)
		if !services[s.Service] {
			r.add(Error, share.field("service"), "there is no service %q", s.Service)
		}
		switch {
		case s.Weight < 0:
			r.add(Error, share.field("weight"), "the weight %d is negative", s.Weight)
		case s.Weight == 0:
			r.add(Warning, share.field("weight"), "a share with weight 0 gets no requests")
		}
	}
}

func (r *report) checkServices(c Config) {
	used := routesByService(c.Routes)
	names := nameChecker{}
	for i, s := range c.Services {
		at := Location("services").index(i)
		names.check(r, at, s.Name)
		if s.Name != "" && len(used[s.Name]) == 0 {
			r.add(Warning, at, "no route refers to the service %q", s.Name)
		}
		if s.Engine != nil && s.Engine.Slots > 0 && s.Engine.CacheTokens == 0 {
			r.add(Warning, at.field("engine").field("cache_tokens"), "no capacity for the %d slots", s.Engine.Slots)
		}
	}
}

// routesByService returns the names of the routes that refer to each service.
func routesByService(routes []Route) map[string][]string {
	used := map[string][]string{}
	for _, route := range routes {
		if len(route.Shares) == 0 {
			used[route.Service] = append(used[route.Service], route.Name)
		}
		for _, s := range route.Shares {
			used[s.Service] = append(used[s.Service], route.Name)
		}
	}
	return used
}

func (r *report) checkAccounts(accounts []Account) {
	names := nameChecker{}
	owners := map[string]int{}
	for i, a := range accounts {
		at := Location("accounts").index(i)
		names.check(r, at, a.Name)
		if len(a.Keys) == 0 {
			r.add(Warning, at.field("keys"), "no request can match an account without keys")
		}
		for j, key := range a.Keys {
			owner, isKnown := owners[key]
			switch {
			case key == "":
				r.add(Warning, at.field("keys").index(j), "the key is empty")
			case isKnown && owner != i:
				r.add(Error, at.field("keys").index(j), "%s has the same key", Location("accounts").index(owner))
			default:
				owners[key] = i
			}
		}
		if a.Priority != nil {
			r.checkPriority(at, *a.Priority)
		}
		r.checkRate(at, a)
	}
}

func (r *report) checkRate(at Location, a Account) {
	if a.Rate < 0 {
		r.add(Warning, at.field("rate"), "%g is below 0 and means unlimited", a.Rate)
	}
	if a.Burst < 0 {
		r.add(Warning, at.field("burst"), "%g is below 0 and counts as absent", a.Burst)
	}
	if !a.HasTokens || a.Rate <= 0 {
		return
	}
	burst := a.effectiveBurst()
	if burst < float64(a.DefaultTokens) {
		r.add(Warning, at.field("burst"), "%g tokens are fewer than the %d of a request that states no token counts: it is never admitted at once", burst, a.DefaultTokens)
	}
	if allowance := a.Rate * minBurstSeconds; burst < allowance {
		r.add(Warning, at.field("burst"), "%g tokens are fewer than the %g that the rate allows in %g s", burst, allowance, minBurstSeconds)
	}
}

// effectiveBurst returns the burst that the scheduler applies.
func (a Account) effectiveBurst() float64 {
	if a.Burst > 0 {
		return a.Burst
	}
	return a.Rate * defaultBurstSeconds
}
