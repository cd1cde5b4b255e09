package settings

import (
	"slices"
	"strings"
	"time"

	"foxcross.dev/coord/result"
)

// RouteInfo holds the route settings of a class, for requests selected by host and path.
type RouteInfo struct {
	Matches     []Match // hosts and prefixes that the route covers
	Split       []Share // at least one service
	MaxAttempts int     // most endpoints to which one request may be sent
	Streaming   bool
	Resumable   bool
	Public      bool
	Priority    int      // sent to the engine, 0 is the most urgent
	Regions     []string // regions that may serve its requests, empty for all
}

// IsRoute reports whether the class is a route.
func (r RouteInfo) IsRoute() bool { return len(r.Matches) > 0 }

// MayRepeat reports whether a request of the class may run more than once.
func (c ClassInfo) MayRepeat() bool {
	if c.Route.Streaming {
		return c.Route.Resumable
	}
	return c.Terms.Repeatable
}

// Pick returns the service for a request by a point of the split in [0, 1).
func (r RouteInfo) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

func (r RouteInfo) check(path string) error {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return result.Errorf(result.SettingsInvalid, "class %q: a route needs a service of some weight", path)
	}
	return nil
}

func routeOf(f Fields, c ClassInfo) RouteInfo {
	r := RouteInfo{
		Split:       value(f.Split),
		MaxAttempts: value(f.MaxAttempts),
		Streaming:   value(f.Streaming),
		Resumable:   value(f.Resumable),
		Public:      value(f.Public),
		Regions:     value(f.AllowedRegions),
		Priority:    c.Terms.Tier,
	}
	if f.EnginePriority != nil {
		r.Priority = *f.EnginePriority
	}
	for _, m := range c.Match {
		if m.Host != "" {
			r.Matches = append(r.Matches, m)
		}
	}
	if len(r.Split) == 0 && c.Service != "" {
		r.Split = []Share{{Service: c.Service, Weight: 1}}
	}
	return r
}

// routePrefix is a path prefix of a host and its class.
type routePrefix struct {
	prefix string
	class  *ClassInfo
}

// routeTable holds the prefixes of each host, longest first.
type routeTable map[string][]routePrefix

func (t routeTable) add(c *ClassInfo) {
	for _, m := range c.Route.Matches {
		t[m.Host] = append(t[m.Host], routePrefix{prefix: m.Prefix, class: c})
	}
}

func (t routeTable) sort() {
	for _, prefixes := range t {
		slices.SortStableFunc(prefixes, func(a, b routePrefix) int { return len(b.prefix) - len(a.prefix) })
	}
}

// Route returns the class with the longest matching prefix of the path at the host.
func (s Snapshot) Route(host, path string) (ClassInfo, bool) {
	for _, p := range s.routes[host] {
		if strings.HasPrefix(path, p.prefix) {
			return *p.class, true
		}
	}
	return ClassInfo{}, false
}

// ServiceInfo holds the settings of the endpoints of a service.
type ServiceInfo struct {
	Name           string
	MaxConnections int           // most connections to one endpoint, over all entries
	Slots          int           // concurrent requests of one engine, 0 for unknown; decisions use the values that endpoints report
	MemoryTokens   int           // tokens that one engine can cache, 0 for unknown
	EventTokens    int           // tokens in one event of a stream
	TokenBytes     int           // bytes of one token in memory, 0 for unknown
	LinkMbps       int           // bandwidth between engines for transfers of cached parts, in Mbit/s, 0 for none
	Warmup         time.Duration // duration of an endpoint's warm-up from its start, 0 for none
	WarmupRate     float64       // requests a second to one endpoint during its warm-up, 0 for no limit

	TeamShares      bool // engine time is shared between teams while the service is contended
	QueuedAdmission bool // long prompts may be deferred, and refused callers get a place in line
	ReplicateRuns   bool // the memory of a run may be copied to a second engine
	EngineSpeeds    bool // prefill and decoding speeds are learned per engine
}

// ServiceNamed returns the settings of a service.
func (s Snapshot) ServiceNamed(name string) (ServiceInfo, bool) {
	i, ok := s.services[name]
	return i, ok
}

func (c *compiler) addServices(paths []string) {
	for _, p := range paths {
		if c.resolver.tree.nodes[p].Kind != Service {
			continue
		}
		f := c.resolver.resolve(p)
		name := value(f.Service)
		c.snapshot.services[name] = ServiceInfo{
			Name:           name,
			MaxConnections: value(f.MaxConnections),
			Slots:          value(f.EngineSlots),
			MemoryTokens:   value(f.EngineMemoryTokens),
			EventTokens:    value(f.EventTokens),
			TokenBytes:     value(f.TokenBytes),
			LinkMbps:       value(f.EngineLinkMbps),
			Warmup:         milliseconds(f.WarmupMS),
			WarmupRate:     value(f.WarmupRate),

			TeamShares:      value(f.TeamShares),
			QueuedAdmission: value(f.QueuedAdmission),
			ReplicateRuns:   value(f.ReplicateRuns),
			EngineSpeeds:    value(f.EngineSpeeds),
		}
	}
}

// Limits bound the requests that callers send on routes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Limits returns the limits for callers.
func (s Snapshot) Limits() Limits { return s.limits }

func limitsOf(f Fields) Limits {
	return Limits{
		HeaderBytes:   value(f.MaxHeaderBytes),
		BodyBytes:     value(f.MaxBodyBytes),
		HeaderTimeout: milliseconds(f.HeaderTimeoutMS),
		IdleTimeout:   milliseconds(f.IdleTimeoutMS),
	}
}
