package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"hibiscusline/admitter"
	"hibiscusline/applier"
	"hibiscusline/dispatcher"
	"hibiscusline/encoder"
	"hibiscusline/leaser"
	"hibiscusline/timer"
)

// incarnation is this process as one member. A process that was removed from the state joins again as a new one.
type incarnation struct {
	id         applier.MemberID
	server     announcement
	dispatcher *dispatcher.Dispatcher
	ranges     *ranges

	mu      sync.Mutex
	machine *leaser.Machine
	// validUntil is the lease's end after the machine's last step. Reading it must not wait for a step.
	validUntil atomic.Int64
	removed    atomic.Bool
	// leaving means that the incarnation is handing its ranges over and is not to be replaced by a new one.
	leaving atomic.Bool
	// fetched holds the epochs of ranges whose idempotency rows were fetched from the guardians of their lost owners.
	fetched sync.Map
	// version is the configuration version that the dispatcher has.
	version atomic.Uint64
	// notified is the offset that the neighbours were last told.
	notified atomic.Uint64
	// neighbours are those of the members as of the offset neighboursAt.
	neighbours   []applier.MemberID
	neighboursAt applier.Offset
	// synchronized is the guardian version whose guardians have all rows.
	synchronized  atomic.Uint64
	synchronizing atomic.Bool
	// nextSync is the time before which the guardians are not told all rows again.
	nextSync atomic.Int64
	fetching atomic.Bool
	// releases holds the moves whose ranges this member is releasing or has released, and released those whose ranges it has
	// been given by their source. Both have keys of type moved.
	releases sync.Map
	released sync.Map
	// told holds the time of the last load report by member.
	toldMu sync.Mutex
	told   map[applier.MemberID]time.Duration
}

// maxTold bounds the memory for members that are no neighbours any more. What is forgotten costs one more report.
const maxTold = 64

// ValidUntil returns the end of the lease by the clock of package timer.
func (n *incarnation) ValidUntil() time.Duration { return time.Duration(n.validUntil.Load()) }

// newMemberID draws the id of a new incarnation.
func newMemberID() applier.MemberID {
	var b [8]byte
	// Read never fails; see package crypto/rand.
	_, _ = rand.Read(b[:])
	return applier.MemberID(binary.BigEndian.Uint64(b[:]))
}

// join makes this process a member for the backend server that announced itself.
func (d *Daemon) join(a announcement) {
	n := &incarnation{id: newMemberID(), server: a, ranges: newRanges(d.config.Settings.Baseline.Static)}
	n.machine = leaser.New(leaser.Config{Self: n.id})
	var ranks []admitter.Rank
	var nestedShare float64
	d.state.View(func(s *applier.State) {
		ranks = ranksOf(s)
		if s.Configuration != nil {
			nestedShare = s.Configuration.Services[a.Service].NestedShare
		}
	})
	n.dispatcher = dispatcher.New(dispatcher.Config{
		State: d.state, Lease: n, Self: func() applier.MemberID { return n.id },
		Replicator: &replicator{daemon: d, incarnation: n}, Service: a.Service,
		Admission: admitter.Config{
			Slots: a.Slots, Ranks: ranks, QueueLimit: d.config.Settings.Limits.QueueLimit, NestedShare: nestedShare,
			Policy: admissionPolicy(d.config.Settings.Baseline.Admission),
		},
		Connections: a.Connections, Metrics: d.metrics, Report: d.reportSuspects,
		Fetched: func(epoch applier.Offset) bool { _, done := n.fetched.Load(epoch); return done },
		Released: func(source applier.MemberID, epoch applier.Offset) bool {
			_, done := n.released.Load(moved{source: source, owner: n.id, epoch: epoch})
			return done
		},
	})
	n.dispatcher.Observe(n.ranges.observe)
	n.dispatcher.SetBackend(a.Address, a.Slots, a.Connections)
	if !d.enter(n) {
		return
	}
	d.log("state", "joining", "member", n.id, "service", a.Service, "backend", a.Address)
	d.tasks.Go(func() { d.commitJoin(n) })
}

// enter makes an incarnation the current one. It reports false while there is another one, while that one's ranges are
// still being handed over, and while the backend server doesn't answer.
func (d *Daemon) enter(n *incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil || d.resigning || d.server.failedProbes > 0 {
		return false
	}
	d.current = n
	return true
}

func (d *Daemon) commitJoin(n *incarnation) {
	ctx, cancel := d.background()
	defer cancel()
	if !d.awaitPeer(ctx, n) {
		return
	}
	result, err := d.commit(ctx, applier.Join{Member: applier.Member{
		ID: n.id, Name: d.config.Settings.Name, Zone: d.config.Settings.Zone, Service: n.server.Service,
		Address: d.address(), Admin: d.config.Settings.Admin, Slots: n.server.Slots, Fenced: n.server.Fenced,
	}})
	if err != nil || !result.Accepted {
		d.log("state", "join failed", "member", n.id, "reason", result.Reason, "err", err)
	}
}

// reportSuspects brings a crash to the log. The dispatcher holds the answers of the suspects back meanwhile.
func (d *Daemon) reportSuspects(ctx context.Context, record applier.Suspect) {
	if _, err := d.commit(ctx, record); err != nil {
		d.metrics.GetOrCreateCounter("hibiscus_suspects_unreported_total").Inc()
	}
}

// address returns the address at which peers reach this process.
func (d *Daemon) address() netip.AddrPort {
	if a := d.config.Settings.Advertise; a.IsValid() {
		return a
	}
	return d.transport.Address()
}

// background returns a context that ends when the daemon has stopped.
func (d *Daemon) background() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-d.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// step passes an event to the lease machine and carries out its actions.
func (d *Daemon) step(n *incarnation, e leaser.Event) {
	d.perform(n, n.step(e))
}

func (n *incarnation) step(e leaser.Event) []leaser.Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	actions := n.machine.Step(timer.Now(), e)
	n.validUntil.Store(int64(n.machine.ValidUntil()))
	n.removed.Store(n.machine.Removed())
	return actions
}

// perform carries out the actions of the lease machine. The state must not be locked.
func (d *Daemon) perform(n *incarnation, actions []leaser.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case leaser.Send:
			d.sendLease(n, a.To, a.Message)
		case leaser.Append:
			d.appendLease(a.Record)
		}
	}
}

func (d *Daemon) sendLease(n *incarnation, to applier.MemberID, m leaser.Message) {
	data, err := leaser.EncodeMessage(m)
	if err != nil {
		d.log("state", "lease message not encoded", "err", err)
		return
	}
	d.sendDatagram(to, encoder.Datagram{From: n.id, Lease: data, Load: n.loadFor(to)})
}

// loadFor returns the load that is due to a member with a lease message, or nil. A process that callers don't use as an
// entry gets no answers from other owners; without these reports it could not tell that its own load is high.
func (n *incarnation) loadFor(to applier.MemberID) *encoder.Load {
	const interval = time.Second
	now := timer.Now()
	n.toldMu.Lock()
	defer n.toldMu.Unlock()
	if last, told := n.told[to]; told && now-last < interval {
		return nil
	}
	if n.told == nil || len(n.told) >= maxTold {
		n.told = map[applier.MemberID]time.Duration{}
	}
	n.told[to] = now
	load := n.dispatcher.Load()
	return &load
}

// sendDatagram sends a datagram with the offset that this process has applied.
func (d *Daemon) sendDatagram(to applier.MemberID, g encoder.Datagram) {
	var m *applier.Member
	var address applier.Member
	d.state.View(func(s *applier.State) {
		g.Applied = s.Applied
		if m = s.Members[to]; m != nil {
			address = *m
		}
	})
	if m == nil {
		return
	}
	data, err := encoder.EncodeDatagram(g)
	if err != nil {
		d.log("state", "datagram not encoded", "err", err)
		return
	}
	d.metrics.GetOrCreateCounter("hibiscus_datagrams_sent_total").Inc()
	d.transport.SendDatagram(address.Address, data)
}

// tickLease lets the lease machine renew and notice lapsed promises.
func (d *Daemon) tickLease(ctx context.Context) {
	// The largest interval that package leaser admits.
	const interval = 50 * time.Millisecond
	every(ctx, interval, func() {
		n := d.incarnation()
		if n == nil {
			return
		}
		d.step(n, leaser.Tick{})
		if n.removed.Load() && !n.leaving.Load() && !d.draining.Load() {
			d.rejoin(n)
		}
	})
}

// rejoin replaces an incarnation that was taken over. Requests that it still runs end on their own; their answers are
// refused by the lease check.
func (d *Daemon) rejoin(old *incarnation) {
	d.mu.Lock()
	replaced := d.current == old
	if replaced {
		d.current = nil
	}
	d.mu.Unlock()
	if replaced {
		d.metrics.GetOrCreateCounter("hibiscus_rejoins_total").Inc()
		d.join(old.server)
	}
}
