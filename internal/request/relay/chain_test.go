package relay

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/balancing"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/retrybudget"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

// The services of a chain, from the entry to the deepest one. A view or an order makes one
// call to the next service, and the last caller makes deepCalls calls to the deep service.
const (
	viewService  = "view"
	orderService = "order"
	billService  = "bill"
	deepService  = "deep"

	deepCalls = 4
	// coldRate is the number of requests per second that a cold target takes.
	coldRate = 20.0
)

// chainRoute is a route of a chain, with what its requests do at their target.
type chainRoute struct {
	version.Route
	work time.Duration
	// call is the route of the calls that a request makes, calls their number.
	call  string
	calls int
	// perSecond is the demand at one instance of each failure domain; 0 for calls.
	perSecond float64
	// patience is the time limit of a client.
	patience time.Duration
}

// chainRoutes are the routes of a chain: two trees of calls that end at the deep service,
// and two routes without calls at the services that the trees pass.
func chainRoutes() []chainRoute {
	route := func(name, service string, mode version.Mode, rank int, timeout, objective time.Duration) version.Route {
		return version.Route{Name: name, Host: host, Path: "/" + name + "/", Service: service, Mode: mode, Access: version.Keyed, Timeout: timeout, Objective: objective, Rank: rank, Retries: 1}
	}
	call := func(name, service string, timeout time.Duration) version.Route {
		r := route(name, service, version.Idempotent, 1, timeout, 0)
		r.Access = version.Open
		return r
	}
	const ms = time.Millisecond
	return []chainRoute{
		{Route: route("page", viewService, version.Idempotent, 2, 800*ms, 1500*ms), work: 120 * ms, call: "outline", calls: 1, perSecond: 28, patience: 5 * time.Second},
		{Route: route("purchase", orderService, version.Once, 0, 1000*ms, 1500*ms), work: 160 * ms, call: "ledger", calls: 1, perSecond: 10, patience: 5 * time.Second},
		{Route: route("payment", billService, version.Once, 0, 1000*ms, 250*ms), work: 84 * ms, perSecond: 7, patience: time.Second},
		{Route: route("history", deepService, version.Idempotent, 2, 2500*ms, 1200*ms), work: 480 * ms, perSecond: 4, patience: 5 * time.Second},
		{Route: call("outline", orderService, 2500*ms), work: 15 * ms, call: "ledger", calls: 1},
		{Route: call("ledger", billService, 2000*ms), work: 15 * ms, call: "stock", calls: deepCalls},
		{Route: call("stock", deepService, 700*ms), work: 30 * ms},
	}
}

// chain is a mesh with one target of each service in each failure domain, in virtual time.
type chain struct {
	*mesh
	routes map[string]chainRoute
	// entries holds the instances of each failure domain.
	entries map[string][]*instance
	start   time.Time
	// coldFor is how long all targets are cold after the start.
	coldFor time.Duration
	// rejects reports whether a target of the service rejects a request although it has
	// room.
	rejects func(service string) bool
	// slowdown is the factor by which the work at an instance takes longer.
	slowdown map[string]float64
	rng      *lockedRand

	mu      sync.Mutex
	nextID  int
	results map[string]*result // by route
	// sent holds when requests reached each target. ran holds the requests that may run
	// once, repeated those of them that ran again.
	sent          map[string][]time.Time
	ran, repeated map[string]struct{}
}

// result counts the clients' requests of one route.
type result struct {
	asked, inObjective, late, failed int
}

// unserved returns the part of the requests that got no successful response.
func (r result) unserved() float64 { return 1 - float64(r.inObjective+r.late)/float64(max(r.asked, 1)) }

type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

func (r *lockedRand) exponential() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.ExpFloat64()
}

func newChain(t *testing.T, seed uint64, coldFor time.Duration) *chain {
	hash := version.HashKey(key)
	c := &chain{routes: make(map[string]chainRoute), entries: make(map[string][]*instance), start: time.Now(), coldFor: coldFor,
		rejects: func(string) bool { return false }, slowdown: make(map[string]float64), rng: &lockedRand{rng: rand.New(rand.NewPCG(seed, 1))},
		results: make(map[string]*result), sent: make(map[string][]time.Time), ran: make(map[string]struct{}), repeated: make(map[string]struct{})}
	entries := version.Entries{
		Teams: []version.Team{{Name: "team", Weight: 1}},
		Keys:  []version.Key{{ID: version.KeyID(hash), Team: "team", Hash: hash}},
	}
	for _, r := range chainRoutes() {
		entries.Routes = append(entries.Routes, r.Route)
		c.routes[r.Name] = r
		c.results[r.Name] = &result{}
	}
	for _, s := range []string{viewService, orderService, billService, deepService} {
		entries.Services = append(entries.Services, version.Service{Name: s, ColdRate: coldRate})
	}
	configuration := &version.FullConfiguration{Revision: 1, Entries: entries}
	must.NoError(t, configuration.Validate())
	state, err := version.Initial().ApplyOrder(&version.Order{Configuration: configuration})
	must.NoError(t, err)
	network := memnet.New(500 * time.Microsecond)
	t.Cleanup(network.Close)
	transport := &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 1000}
	t.Cleanup(transport.CloseIdleConnections)
	c.mesh = &mesh{t: t, state: state, network: network, client: &http.Client{Transport: transport}}
	for _, domain := range []string{"a", "b", "c", "d"} {
		for _, service := range []string{viewService, orderService, billService, deepService} {
			c.entries[domain] = append(c.entries[domain], c.add(domain, service))
		}
	}
	return c
}

// add adds an instance with a target of the service in the failure domain.
func (c *chain) add(domain, service string) *instance {
	slots := 60
	if service == deepService {
		slots = 15
	}
	name := service + "-" + domain
	inst := &instance{name: name, quarantine: newQuarantine()}
	running := make(chan struct{}, slots)
	inst.targetAddress = c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.runAtTarget(inst, running, w, r) }))
	state := protocol.Warm
	if c.coldFor > 0 {
		state = protocol.Cold
	}
	inst.target = local.New(local.Options{
		Service: service, Address: inst.targetAddress, Interval: time.Minute, Crashed: inst.quarantine.AddCrash, Now: time.Now, Log: zap.NewNop(),
		ColdRate: func() float64 { return coldRate }, Permitted: func() error { return nil }, Changed: func() {},
	})
	must.NoError(c.t, inst.target.Heartbeat(local.Heartbeat{ID: name, Sequence: 1, Service: service, Address: inst.targetAddress, Slots: slots, ColdFor: c.coldFor}))
	levels, callGraph := new(shedding.Levels), new(shedding.CallGraph)
	balancer := &balancing.Balancer{FailureDomain: domain, List: c.list}
	inst.peerHandler = &PeerHandler{
		Balancer: balancer, HeaderNames: DefaultNames(), Service: service, Address: inst.targetAddress, Target: inst.target, Levels: levels, CallGraph: callGraph,
		TargetClient: http1.NewClient(c.clientOptions(http1.Options{IDHeader: "Teaselrack-Request"})), Quarantine: inst.quarantine, Log: zap.NewNop(), Stats: NewStats(),
	}
	inst.record = protocol.TargetRecord{Service: service, Instance: name, PeerAddress: c.serve(inst.peerHandler), FailureDomain: domain, Slots: slots, State: state, Incarnation: name + "/0"}
	inst.entry = &EntryHandler{
		HeaderNames: DefaultNames(), Instance: name, Service: service, Configuration: c, Quota: c, Balancer: balancer,
		RetryBudget: retrybudget.New(retrybudget.Options{Ratio: 0.2, Window: 10 * time.Second, Slack: 50, Processes: func() int { return 16 }}),
		Local:       inst.peerHandler, PeerClient: http1.NewClient(c.clientOptions(http1.Options{PeerKeepsIdle: true})),
		Levels: levels, CallGraph: callGraph, Demand: new(shedding.Demand), Rejections: new(shedding.Rejections), Quarantine: inst.quarantine, Log: zap.NewNop(), Stats: NewStats(),
	}
	inst.entryAddress = c.serve(inst.entry)
	c.instances = append(c.instances, inst)
	return inst
}

// list returns the targets of a service; they are listed as warm once they are.
func (c *chain) list(service string) []protocol.TargetRecord {
	records := c.mesh.list(service)
	for i := range records {
		if time.Since(c.start) >= c.coldFor {
			records[i].State = protocol.Warm
		}
	}
	return records
}

// runAtTarget runs a request at the target of an instance: its calls, then its work.
func (c *chain) runAtTarget(inst *instance, running chan struct{}, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Teaselrack-Request", r.Header.Get("Teaselrack-Request"))
	arrived := time.Now()
	ms, err := strconv.Atoi(r.Header.Get("Teaselrack-Timeout"))
	must.NoError(c.t, err)
	deadline := arrived.Add(time.Duration(ms) * time.Millisecond)
	select {
	case running <- struct{}{}:
		defer func() { <-running }()
	default:
		rejectAsFull(w)
		return
	}
	if c.rejects(inst.record.Service) {
		rejectAsFull(w)
		return
	}
	c.mu.Lock()
	c.sent[inst.name] = append(c.sent[inst.name], arrived)
	if _, again := c.ran[r.URL.Path]; again && r.Method == http.MethodPost {
		c.repeated[r.URL.Path] = struct{}{}
	}
	c.ran[r.URL.Path] = struct{}{}
	c.mu.Unlock()
	route := c.routes[strings.Split(r.URL.Path, "/")[1]]
	for range route.calls {
		if c.request(inst, c.routes[route.call], deadline).status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	work := time.Duration(float64(route.work) * max(c.slowdown[inst.name], 1) * (0.5 + c.rng.float()))
	if time.Since(c.start) < c.coldFor {
		work *= 2
	}
	time.Sleep(min(work, time.Until(deadline)))
	if !time.Now().Before(deadline) {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

func rejectAsFull(w http.ResponseWriter) {
	w.Header().Set("Teaselrack-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reply is the end of one attempt.
type reply struct {
	status     int
	retryAfter time.Duration
}

// request sends one request to the entry of an instance. A connection that breaks has the
// status 0.
func (c *chain) request(from *instance, route chainRoute, deadline time.Time) reply {
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.mu.Unlock()
	method := http.MethodGet
	if route.Mode == version.Once {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s%d", from.entryAddress, route.Path, id), nil)
	must.NoError(c.t, err)
	r.Host = host
	r.Header.Set("Teaselrack-Request", "id-"+strconv.Itoa(id))
	r.Header.Set("Teaselrack-Timeout", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if route.Access == version.Keyed {
		r.Header.Set("Teaselrack-Key", key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return reply{resp.StatusCode, time.Duration(seconds * float64(time.Second))}
}

// visit sends one request of a route, and a second time if that may help: after a refusal
// that says when, and at once after the failure of an idempotent request.
func (c *chain) visit(from *instance, route chainRoute) {
	began := time.Now()
	deadline := began.Add(route.patience)
	got := c.request(from, route, deadline)
	refused := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
	if got.status != http.StatusOK && (refused || route.Mode == version.Idempotent) {
		time.Sleep(min(got.retryAfter, time.Until(deadline)/3))
		got = c.request(from, route, deadline)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.results[route.Name]
	result.asked++
	switch {
	case got.status != http.StatusOK:
		result.failed++
	case time.Since(began) <= route.Objective:
		result.inObjective++
	default:
		result.late++
	}
}

// run sends the demand of all routes for d and waits until all requests have ended.
func (c *chain) run(d time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, route := range c.routes {
		if route.perSecond == 0 {
			continue
		}
		for _, instances := range c.entries {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(time.Duration(c.rng.exponential() / route.perSecond * float64(time.Second)))
					wg.Go(func() { c.visit(instances[n%len(instances)], route) })
				}
			})
		}
	}
	wg.Wait()
}

// mostInASecond returns the highest number of requests that a target got in one second
// while it was cold.
func (c *chain) mostInASecond() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, sent := range c.sent {
		first := 0
		for i, at := range sent {
			if at.Sub(c.start) >= c.coldFor {
				break
			}
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// playChain runs f on a chain in virtual time.
func playChain(t *testing.T, seed uint64, coldFor time.Duration, f func(c *chain)) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain(t, seed, coldFor)
		f(c)
		time.Sleep(time.Minute) // connections close
	})
}

// load is a demand and a trouble that a chain is played with.
type load struct {
	name string
	// cold is how long all targets are cold from the start, lasts how long clients send.
	cold, lasts time.Duration
	// prepare makes the trouble.
	prepare func(c *chain)
}

// loads are the loads of a customer whose services stand three above one deep one.
func loads() []load {
	return []load{
		{name: "restart", cold: 2500 * time.Millisecond, lasts: 4500 * time.Millisecond},
		{name: "slow-service", lasts: 4 * time.Second, prepare: func(c *chain) {
			for _, inst := range c.instances {
				if inst.record.Service == deepService {
					c.slowdown[inst.name] = 3
				}
			}
		}},
		{name: "rejecting-service", lasts: 4 * time.Second, prepare: func(c *chain) {
			c.rejects = func(service string) bool { return service == deepService && c.rng.float() < 0.55 }
		}},
		{name: "slow-target", lasts: 4 * time.Second, prepare: func(c *chain) {
			c.slowdown[viewService+"-a"], c.slowdown[deepService+"-b"] = 12, 12
		}},
	}
}

// values are what a response is worth within its objective and after it, by route.
var values = map[string]struct{ inObjective, late float64 }{"page": {1, 0.3}, "purchase": {3, 1.8}, "payment": {3, 2.7}, "history": {1, 0.3}}

// figures returns the part of the value of all requests that was served, and the part of
// the requests.
func (c *chain) figures() (worth, served float64) {
	value, owed, asked := 0.0, 0.0, 0
	for name, r := range c.results {
		v := values[name]
		value += float64(r.inObjective)*v.inObjective + float64(r.late)*v.late
		owed += float64(r.asked) * v.inObjective
		served += float64(r.inObjective + r.late)
		asked += r.asked
	}
	return value / owed, served / float64(asked)
}

var (
	chainSeed   = flag.Uint64("chain.seed", 1, "first seed of TestChain")
	chainSeeds  = flag.Int("chain.seeds", 1, "number of seeds of TestChain")
	chainReport = flag.String("chain.report", "", "file that receives the mean figures of TestChain")
)

// TestChain plays the loads on the daemons of a chain, in virtual time. Whatever the load,
// no cold target gets more than it takes, no request that may run once runs twice, and
// where nothing is cold the most urgent requests that need no troubled service are served.
func TestChain(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			var worth, served float64
			for n := range *chainSeeds {
				playChain(t, *chainSeed+uint64(n), l.cold, func(c *chain) {
					if l.prepare != nil {
						l.prepare(c)
					}
					c.run(l.lasts)
					must.LessEq(t, int(coldRate), c.mostInASecond())
					must.MapEmpty(t, c.repeated)
					if l.cold == 0 {
						must.Less(t, 0.02, c.results["payment"].unserved())
					}
					w, s := c.figures()
					worth, served = worth+w, served+s
				})
			}
			worth, served = worth/float64(*chainSeeds), served/float64(*chainSeeds)
			t.Logf("worth %.3f, served %.3f", worth, served)
			if *chainReport != "" {
				report := fmt.Sprintf(`{"days":[{"G":%.4f,"served":%.4f,"rules":{}}]}`, worth, served)
				must.NoError(t, os.WriteFile(*chainReport, []byte(report), 0o644))
			}
		})
	}
}
