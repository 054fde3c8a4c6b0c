package version

import (
	"strings"
	"time"
)

const (
	// maxObjectiveExcess bounds how far the objective of a route may exceed its
	// timeout: an excess of a minute or more is treated as a mistake in the unit.
	maxObjectiveExcess = time.Minute
	// maxFullDuration bounds every duration, so that none overflows where it is
	// calculated with. It is a third of what a time.Duration holds.
	maxFullDuration = 100 * 365 * 24 * time.Hour
)

// Validate returns a NoteInvalid error that lists every problem of the full
// configuration that depends on its content alone, or nil. Its senders know which
// configurations are invalid, so it must report nothing else. A route may have no timeout.
func (c *FullConfiguration) Validate() error {
	var errs problems
	if c.Revision == 0 {
		errs.add("the configuration has no version")
	}
	services := index(c.Entries.Services, func(v Service) string { return v.Name })
	for _, r := range c.Entries.Routes {
		checkFullRoute(&errs, r, services)
	}
	checkDurations(&errs, c.Entries)
	checkKeys(&errs, c.Entries)
	checkRoutes(&errs, c.Entries.Routes)
	return errs.asError()
}

// checkDurations reports durations beyond maxFullDuration, in either direction.
func checkDurations(errs *problems, e Entries) {
	check := func(d time.Duration, format string, args ...any) {
		if d > maxFullDuration || d < -maxFullDuration {
			errs.add(format+" is beyond %s", append(args, maxFullDuration)...)
		}
	}
	for _, r := range e.Routes {
		check(r.Timeout, "the timeout of route %q", r.Name)
		check(r.Objective, "the objective of route %q", r.Name)
	}
	for _, v := range e.Services {
		check(v.ColdFor, "the cold-start time of service %q", v.Name)
	}
	if e.Limits != nil {
		check(e.Limits.HeaderTimeout, "the header timeout")
		check(e.Limits.IdleTimeout, "the idle timeout")
	}
}

func checkFullRoute(errs *problems, r Route, services map[string]Service) {
	if !strings.HasPrefix(r.Path, "/") {
		errs.add("the prefix %q of route %q does not begin with a slash", r.Path, r.Name)
	}
	if r.Objective-r.Timeout >= maxObjectiveExcess {
		errs.add("the objective %s of route %q is %s or more above its timeout %s", r.Objective, r.Name, maxObjectiveExcess, r.Timeout)
	}
	names := r.Services()
	if len(names) == 0 {
		errs.add("route %q names no service", r.Name)
	}
	for _, name := range names {
		if _, ok := services[name]; !ok {
			errs.add("route %q names the service %q, which does not exist", r.Name, name)
		}
	}
}

// Services returns the names of the services that the route may send requests to.
func (r Route) Services() []string {
	if len(r.Split) == 0 {
		if r.Service == "" {
			return nil
		}
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, part := range r.Split {
		names = append(names, part.Service)
	}
	return names
}

// ServiceFor chooses the service of one request by weight. draw is a uniform
// random number in [0, 1).
func (r Route) ServiceFor(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	offset := draw * totalWeight(r.Split)
	for _, part := range r.Split {
		if offset < part.Weight {
			return part.Service
		}
		offset -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
