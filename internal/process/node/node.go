// Package node assembles and runs a daemon that relays opaque requests: it connects
// the packages that make decisions to a store, a dialect and an edge.
//
// # Usage
//
//	n := &node.Node{Setup: setup, Source: source, Dialect: dialect, Codec: codec, Log: log}
//	err := n.Start(ctx)
//	...
//	err = n.Stop(ctx) // graceful: cuts no request
//
// The interfaces cover what differs between platforms; this package depends on no
// particular platform.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/edge"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/guard"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/alloc"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/feed"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/gossip"
	"github.com/magnoliarelay/magnoliarelay/internal/process/joiner"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/logger"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/timing"
	"github.com/magnoliarelay/magnoliarelay/internal/process/usage"
	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	KindStart Kind = "Start"
	KindStop  Kind = "Stop"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Setup is the configuration of a node at its start.
type Setup struct {
	Name       string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Front is the "ip:port" that callers connect to; Link is the one for other daemons.
	Front string
	Link  string
	// RetryBudget limits the extra attempts for each pool.
	RetryBudget retry.Terms
	// FirstStart is true when the whole tier starts for the first time.
	FirstStart bool
	// AddressTTL is how long callers may keep addresses; Grace is the maximum time of a
	// stop.
	AddressTTL time.Duration
	Grace      time.Duration
	// DrainTimeout is for how long a target may get requests after it has said that it
	// leaves.
	DrainTimeout time.Duration
	// Cores is the number of processors that this daemon may use, and LinkBytes the
	// bytes per second that the network link of the host carries.
	Cores     float64
	LinkBytes float64
	// Host describes the memory and the descriptors that the daemon may use.
	Host guard.Host
}

const (
	// linkIdleTimeout closes a connection to another daemon on which nothing arrives.
	// Heartbeats are sent several times as often.
	linkIdleTimeout = 4 * time.Second
	// joinInterval is the time between rounds of joining, and maxJoinSeeds the maximum
	// number of daemons that a joining daemon asks in a round.
	joinInterval = 200 * time.Millisecond
	maxJoinSeeds = 3
	// maxWithheldRounds is the maximum number of rounds in which a daemon that starts asks its
	// peers what they know of targets that a copy of the store brings back.
	maxWithheldRounds = 10
	// peerOnlyRounds is the number of rounds in which a daemon that is not chosen to
	// read the store asks only its peers for routes and targets.
	peerOnlyRounds = 4
	// earlyLoadTimeout bounds the read of the store by which a daemon restarts; other
	// daemons may have what it needs.
	earlyLoadTimeout = time.Second
	// maxEarlyKeys bounds the size of a store that is read so: the daemons of a large
	// tier that restart together would overload it.
	maxEarlyKeys = 1000
	// maintenanceInterval is the time between rounds of maintain, and roundsPerSweep
	// the number of rounds between two sweeps of idle connections.
	maintenanceInterval = 200 * time.Millisecond
	roundsPerSweep      = 10
	// watchersPerDataCentre is the number of daemons in each data centre that follow
	// the store.
	watchersPerDataCentre = 1
	// addressTTLFactor extends the time for which a leaving daemon serves: some callers
	// keep addresses this many times longer than allowed.
	addressTTLFactor = 3
	// stopMargin is the part of the grace that is reserved for the answers to requests
	// that are interrupted, and for leaving the other daemons.
	stopMargin = 800 * time.Millisecond
	// maxLoggedURI is the maximum length of the URI of a request that is not valid in the log.
	maxLoggedURI = 200
	// unreadyRetryAfter is the delay after which a caller may retry at a daemon that has
	// no routes yet.
	unreadyRetryAfter = 200 * time.Millisecond
	// storeLostRetryAfter replaces unreadyRetryAfter while the store does not answer:
	// outages last for seconds, and the daemon would refuse an earlier retry again.
	storeLostRetryAfter = 2 * time.Second
)

// Node is one daemon. Exported fields are set before Start.
type Node struct {
	Setup   Setup
	Source  feed.Source
	Dialect relay.Dialect
	Codec   edge.Codec
	Log     *logger.Log
	Meter   *meter.Meter
	// WrapLink, if set, wraps the socket that QUIC uses. Tests set it.
	WrapLink func(net.PacketConn) net.PacketConn

	// Requests and Answers bound the memory that clients hold. They are set by Start.
	Requests *room.Room
	Answers  *room.Room

	Keeper *epoch.Keeper
	Table  *member.Table
	Roster *roster.Roster
	Pools  *pools.Pools
	Poison *poison.Register

	mu mutex.Mutex // guards Setup after the start
	// applyMu orders what is applied to Pools: several goroutines deliver settings and
	// registrations, and the latest must be applied last.
	applyMu      mutex.Mutex
	started      time.Time
	keys         *keys.Keys
	link         *link.Link
	gossip       *gossip.Gossip
	feed         *feed.Feed
	runner       *relay.Runner
	server       *edge.Server
	cancel       context.CancelFunc
	membership   *joiner.Membership
	fresh        *fresh.Tracker
	usageMonitor *usage.Monitor
	allocator    *alloc.Allocator
	// active holds the active daemons as last chosen.
	active atomic.Pointer[activeSet]
	// sharingMu guards allocator, usageMonitor and activeSince.
	sharingMu   mutex.Mutex
	activeSince time.Time
	// assistsInFlight counts gathers in flight for other daemons.
	assistsInFlight atomic.Int64
	// peerContext ends when a stop has no more time for these gathers.
	peerContext    context.Context
	endPeerContext context.CancelCauseFunc
	// tableReady is true once Table is set.
	tableReady atomic.Bool
	joined     atomic.Bool
	// serving is closed once the daemon has what it needs to serve.
	serving chan struct{}
	// storeLost is true while the daemon joins and the store does not answer.
	storeLost atomic.Bool
	refused   refusals
	evictions refusals
	origins   origins
}

// Start listens and begins to join. The daemon becomes ready once it has the routes
// and the targets.
func (n *Node) Start(ctx context.Context) error {
	n.started = time.Now()
	n.serving = make(chan struct{})
	n.peerContext, n.endPeerContext = context.WithCancelCause(context.Background())
	n.build()
	if err := n.listen(); err != nil {
		return err
	}
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	n.Log.State("started", "daemon", n.Setup.Name, "dataCentre", n.Setup.DataCentre, "front", n.server.Address, "link", n.link.Address)
	go n.join(ctx)
	go n.gossip.Run(ctx)
	go n.maintain(ctx)
	return nil
}

// build makes the parts that need no socket.
func (n *Node) build() {
	n.Keeper = epoch.NewKeeper()
	n.Requests, n.Answers = n.Setup.Host.Requests(), n.Setup.Host.Answers()
	n.Requests.OnEvict = func(int64) { n.Evicted(LimitRequest) }
	n.Answers.OnEvict = func(int64) { n.Evicted(LimitAnswer) }
	n.Roster = roster.New()
	n.fresh = fresh.New(mono.Now(), rand.Uint64())
	n.fresh.State = func() (settings, roster stamp.Stamp) { return n.Keeper.Stamp(), n.Roster.Stamp() }
	n.usageMonitor = &usage.Monitor{Cores: n.Setup.Cores, BytesPerSecond: n.Setup.LinkBytes}
	n.allocator = &alloc.Allocator{Window: n.Setup.RetryBudget.Window, First: n.Setup.FirstStart}
	n.Poison = poison.New()
	n.Pools = &pools.Pools{
		Daemon: n.Setup.Name, Region: n.Setup.Region, RegionOf: func(dc string) string { return n.Setup.Regions[dc] },
		Terms: n.Setup.RetryBudget, Seed: rand.Uint64(), Opened: func() { n.Meter.CountDecision("OpenTargetConnection") }, Correlator: n.Dialect,
		OnStateChange: func(pool string, t *fleet.Target, state fleet.State, why fleet.Outcome) {
			n.Log.State("target state changed", "pool", pool, "target", t.ID, "address", t.Address, "state", state, "why", why)
		},
		OnNotice: n.reportNotice, OnKept: func(why fleet.NoticeKind) { n.Meter.CountDecision("KeepFromTarget" + string(why)) },
		OnRemoved:    func(t *fleet.Target) { n.runner.TargetEnded(t) },
		DrainTimeout: n.Setup.DrainTimeout,
	}
	n.Pools.SetSharers(1, 1, n.allocator.Fraction(mono.Now(), 1, true))
	n.link = &link.Link{Address: n.Setup.Link, Handle: n.handle, HandleGather: n.assist, Sent: n.countSent, SendFailed: n.countUnsent, WrapSocket: n.WrapLink, IdleTimeout: linkIdleTimeout}
	n.gossip = &gossip.Gossip{
		Link: n.link, Keeper: n.Keeper, Poison: n.Poison, Meter: n.Meter, Roster: n.Roster, Fresh: n.fresh, Clock: mono.Now,
		Accepted: n.applySettings, Registered: n.applyRegistrations, Noticed: n.handleNotice, Users: n.activePeers,
	}
	n.gossip.Init()
	n.runner = &relay.Runner{
		Pools: n.Pools, Connect: func(t *fleet.Target) relay.Sender { return n.Pools.Connections(t) }, Dialect: n.Dialect, Poison: n.Poison, ResponseTimes: timing.New(), Log: n.Log, OnSuspectedCrash: n.gossip.Push, OnStalledTarget: n.announceStall, OnLostAnswer: func(pool string, t *fleet.Target) { n.gossip.Lost(pool, t.ID) },
		RemotePeers: &remotePeers{node: n}, Requests: n.Requests, Answers: n.Answers,
	}
	n.server = &edge.Server{
		Address: n.Setup.Front, Codec: n.Codec, Serve: n.serve, Refuse: n.refuseStopping, Limits: n.limits, WriteFailed: n.logUnwritten,
		Report: n.Log.State, Requests: n.Requests, Answers: n.Answers, MaxConnections: n.Setup.Host.Connections(guard.Callers),
		OnEvict: func() { n.Evicted(LimitConnection) }, Rejected: n.logRejected,
	}
}

// listen opens the sockets and creates the parts that depend on their addresses.
func (n *Node) listen() error {
	pinned, err := keys.Pinned(n.Setup.Name)
	if err != nil {
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	pinned.Trusted = n.trusts
	n.keys = pinned
	n.link.Keys = pinned
	if err := n.link.Start(); err != nil {
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	if err := n.server.Start(); err != nil {
		n.link.Close()
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	n.Table = member.New(n.started, member.Member{
		Name: n.Setup.Name, Link: n.link.Address, URL: n.server.Address,
		DataCentre: n.Setup.DataCentre, Region: n.Setup.Region,
		Incarnation: uint64(n.started.UnixMilli())<<incarnationRandom | uint64(rand.Uint32N(1<<incarnationRandom)),
		State:       member.Joining, Fingerprint: pinned.Fingerprint(), Capacity: n.usageMonitor.Capacity(),
	}, rand.Uint64())
	n.Table.RaiseIncarnation = true
	n.gossip.Table = n.Table
	n.membership = &joiner.Membership{Table: n.Table, Push: n.gossip.Push, JoinInterval: joinInterval}
	n.feed = &feed.Feed{
		Source: n.Source, Table: n.Table, Roster: n.Roster, Fresh: n.fresh, Clock: mono.Now, Meter: n.Meter, Log: n.Log, Watchers: watchersPerDataCentre,
		SilentAfter:   func() time.Duration { return n.Keeper.Current().Tree.Resolve("", "", "").SilentAfter },
		ApplySettings: n.gossip.ApplySettings, Registered: n.gossip.AnnounceRegistrations, MembersChanged: n.gossip.MembersChanged,
	}
	n.feed.Init()
	n.tableReady.Store(true)
	return nil
}

// incarnationRandom is the number of random bits below the start time in an
// incarnation, for two starts within one millisecond.
const incarnationRandom = 12

// handle passes messages to gossip; it drops them until listen has finished.
func (n *Node) handle(ctx context.Context, from net.Addr, kind link.Type, body []byte) []byte {
	if !n.tableReady.Load() {
		return nil
	}
	return n.gossip.Handle(ctx, from, kind, body)
}

// limits returns the operator's limits on what callers send.
func (n *Node) limits() *tree.Limits {
	routes := n.Keeper.Current().Tree.Routes()
	if routes == nil {
		return nil
	}
	return &routes.Limits
}

// countSent counts bytes that are sent to other daemons.
func (n *Node) countSent(kind link.Type, bytes int) {
	n.Meter.LinkSent.WithLabelValues(kind.String()).Add(float64(bytes))
}

// countUnsent counts messages that the link could not send. It does not log them, since
// each heartbeat to a daemon that is down would add a line.
func (n *Node) countUnsent(_ string, kind link.Type, _ error) {
	n.Meter.CountDecision("Unsent" + kind.String())
}

// applySettings applies the current revision of the settings to the pools.
func (n *Node) applySettings(from string) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	e := n.Keeper.Current()
	n.origins.settingsFrom(time.Now(), from)
	routes := e.Tree.Routes()
	if routes == nil {
		return
	}
	n.Pools.Configure(routes)
	n.Log.State("settings in force", "revision", e.Change.Revision, "era", e.Change.Era, "version", e.Change.Number, "from", from, "routes", len(routes.All),
		"uptimeMillis", time.Since(n.started).Milliseconds())
}

// applyRegistrations applies changed registrations to their pools.
func (n *Node) applyRegistrations(changed []string, from string) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	now := time.Now()
	n.origins.registrationsFrom(now, from)
	seen := map[string]bool{}
	for _, name := range changed {
		if seen[name] {
			continue
		}
		seen[name] = true
		entries := n.Roster.Pool(name)
		n.Pools.Register(now, name, entries)
		ready, leaving := 0, 0
		for i := range entries {
			if entries[i].Leaving {
				leaving++
			} else {
				ready++
			}
		}
		if n.joined.Load() {
			n.Log.State("targets changed", "pool", name, "ready", ready, "leaving", leaving, "revision", n.Roster.Stamp().Revision, "era", n.Roster.Stamp().Era, "from", from)
		}
	}
}

// serve answers one request.
func (n *Node) serve(ctx context.Context, request *relay.Request) *relay.Answer {
	n.awaitStart(ctx, request)
	e := n.Keeper.Current()
	routes := e.Tree.Routes()
	if routes == nil {
		storeLost, retryAfter := n.storeLost.Load(), unreadyRetryAfter
		if storeLost {
			retryAfter = storeLostRetryAfter
		}
		n.Log.Failure(request.ID, "refused", "why", "no settings yet", "storeLost", storeLost, "retryAfterMillis", retryAfter.Milliseconds())
		return &relay.Answer{Result: relay.NotRun, Reason: "no settings yet", RetryAfter: retryAfter}
	}
	path := request.URI
	for i := range len(path) {
		if path[i] == '?' {
			path = path[:i]
			break
		}
	}
	route := routes.Match(request.Host, path)
	if route == nil {
		n.Log.Failure(request.ID, "no route", append([]any{"host", request.Host, "uri", request.URI}, n.basis(e)...)...)
		return &relay.Answer{Result: relay.NoRoute, Reason: "no route"}
	}
	answer := n.runner.Run(ctx, request, route)
	n.recordAnswer(request, route, answer, e)
	return answer
}

// recordAnswer logs and counts the result of a request.
func (n *Node) recordAnswer(request *relay.Request, route *tree.Route, answer *relay.Answer, e *epoch.Epoch) {
	took := time.Since(request.Arrived)
	n.Meter.Answers.WithLabelValues(string(answer.Result), "", "", route.Name).Inc()
	n.Meter.Latency.WithLabelValues("", "", route.Name).Observe(took.Seconds())
	pairs := []any{
		"result", answer.Result, "why", answer.Reason, "route", route.Name, "pool", answer.Pool, "revision", e.Change.Revision,
		"tookMillis", took.Milliseconds(), "patienceMillis", request.Timeout.Milliseconds(),
		"spentMillis", answer.WaitedBefore.Milliseconds(),
		"missing", answer.Missing, "extras", answer.ExtraAttempts,
	}
	switch answer.Result {
	case relay.Gathered:
		n.Log.Request(request.ID, "answered", pairs...)
	case relay.Passed:
		n.Log.Request(request.ID, "answered", append(pairs, "status", answer.Reply.Status, "target", answer.Target.ID, "registered", answer.Target.Registered().Revision, "registeredEra", answer.Target.Registered().Era, "born", answer.Target.Born())...)
	default:
		n.Log.Failure(request.ID, "ended", append(pairs, "retryAfterMillis", answer.RetryAfter.Milliseconds(),
			"outstanding", answer.Outstanding)...)
	}
}

// refuseStopping refuses a request for which a stop leaves no time. Another daemon can
// serve it at once.
func (n *Node) refuseStopping(request *relay.Request) *relay.Answer {
	n.Log.Failure(request.ID, "refused", "why", relay.ReasonStopping)
	return &relay.Answer{Result: relay.NotRun, Reason: relay.ReasonStopping}
}

// logRejected logs a request that is not valid.
func (n *Node) logRejected(request *relay.Request, status int) {
	uri := request.URI[:min(len(request.URI), maxLoggedURI)]
	n.Log.Failure(request.ID, "rejected", "status", status, "uri", uri, "version", n.Keeper.Current().Change.Number)
}

func (n *Node) logUnwritten(request *relay.Request, err error) {
	n.Log.Failure(request.ID, "could not write the complete answer to the caller", "error", err)
}
