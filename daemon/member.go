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

// incarnation is the membership of this process under one member ID. A process that was removed from the state joins
// again as a new incarnation.
type incarnation struct {
	id            applier.MemberID
	backend       announcement
	dispatcher    *dispatcher.Dispatcher
	rangeBalancer *rangeBalancer

	mu      sync.Mutex
	machine *leaser.Machine
	// validUntil is the end of the lease as of the state machine's last step. It is atomic so that reading it doesn't
	// wait for a step.
	validUntil atomic.Int64
	removed    atomic.Bool
	// leaving means that the incarnation is handing over its ranges and must not be replaced by a new one.
	leaving atomic.Bool
	// fetchedEpochs holds the epochs of ranges whose idempotency rows have been fetched from the guardians of their
	// lost owners.
	fetchedEpochs sync.Map
	// fetchesBegan holds the time at which the first fetch of each other epoch began, by the clock of package timer, fetching
	// the epochs whose rows are being fetched, and unsettled those of which they have not reached the guardians yet.
	fetchesBegan, fetching, unsettled sync.Map
	// configVersion is the configuration version that the dispatcher uses.
	configVersion atomic.Uint64
	// notifiedOffset is the applied offset last sent to the neighbours.
	notifiedOffset atomic.Uint64
	// neighbours caches the result of neighboursIn as of offset neighboursAt.
	neighbours   []applier.MemberID
	neighboursAt applier.Offset
	// syncedVersion is the last guardian version whose guardians have received all rows.
	syncedVersion atomic.Uint64
	syncing       atomic.Bool
	// nextSyncAt is the earliest time at which all rows are sent to the guardians again.
	nextSyncAt atomic.Int64
	// exportMu is held while rows are sent to the guardians with a declaration that they are complete or not, so that
	// declarations arrive in the order in which the rows were read.
	exportMu sync.Mutex
	// outgoingMoves holds the moves whose ranges this member is releasing or has released. incomingMoves holds the
	// moves whose ranges the source has released to this member. Both have keys of type moveKey.
	outgoingMoves sync.Map
	incomingMoves sync.Map
	// received holds the ranges whose rows other members have handed over to this one.
	received receivedRanges
	// loadSentAt holds the time of the last load report to each member.
	loadSentMu sync.Mutex
	loadSentAt map[applier.MemberID]time.Duration
}

// maxLoadReports bounds the memory used for members that are no longer neighbours. Discarding an entry costs one extra
// report.
const maxLoadReports = 64

// ValidUntil returns the end of the lease by the clock of package timer.
func (n *incarnation) ValidUntil() time.Duration { return time.Duration(n.validUntil.Load()) }

// newMemberID returns a random ID for a new incarnation.
func newMemberID() applier.MemberID {
	var b [8]byte
	// Read never returns an error; see package crypto/rand.
	_, _ = rand.Read(b[:])
	return applier.MemberID(binary.BigEndian.Uint64(b[:]))
}

// join makes this process a member for the backend server that announced itself.
func (d *Daemon) join(a announcement) {
	n := &incarnation{id: newMemberID(), backend: a, rangeBalancer: newRangeBalancer(d.config.Settings.Baseline.Static)}
	n.machine = leaser.New(leaser.Config{Self: n.id})
	var ranks []admitter.Rank
	var nestedShare float64
	d.state.View(func(s *applier.State) {
		ranks = admissionRanks(s)
		if s.Configuration != nil {
			nestedShare = s.Configuration.Services[a.Service].NestedShare
		}
	})
	n.dispatcher = dispatcher.New(dispatcher.Config{
		State: d.state, Lease: n, Self: func() applier.MemberID { return n.id },
		Replicator: &replicator{daemon: d, incarnation: n}, Zone: d.config.Settings.Zone, Service: a.Service,
		Admission: admitter.Config{
			Slots: a.Slots, Ranks: ranks, QueueLimit: d.config.Settings.Limits.QueueLimit, NestedShare: nestedShare,
			Policy: admissionPolicy(d.config.Settings.Baseline.Admission),
		},
		Connections: a.Connections, Metrics: d.metrics, ReportSuspects: d.reportSuspects,
		RowsFetched: n.hasFetched,
		Released: func(source applier.MemberID, epoch applier.Offset) bool {
			_, done := n.incomingMoves.Load(moveKey{source: source, owner: n.id, epoch: epoch})
			return done
		},
	})
	n.dispatcher.SetObserver(n.rangeBalancer.observe)
	n.dispatcher.SetBackend(a.Address, a.Slots, a.Connections)
	if !d.setCurrent(n) {
		return
	}
	d.log("state", "joining", "member", n.id, "service", a.Service, "backend", a.Address)
	d.tasks.Go(func() { d.commitJoin(n) })
}

// setCurrent makes an incarnation the current one. It returns false if there is a current incarnation, if a previous
// one is still handing over its ranges, or if the backend server doesn't respond.
func (d *Daemon) setCurrent(n *incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil || d.resigning || d.backend.failedProbes > 0 {
		return false
	}
	d.current = n
	return true
}

func (d *Daemon) commitJoin(n *incarnation) {
	ctx, cancel := d.background()
	defer cancel()
	if !d.waitForPeer(ctx, n) {
		return
	}
	result, err := d.commit(ctx, applier.Join{Member: applier.Member{
		ID: n.id, Name: d.config.Settings.Name, Zone: d.config.Settings.Zone, Service: n.backend.Service,
		Address: d.address(), Admin: d.config.Settings.Admin, Slots: n.backend.Slots, Fenced: n.backend.Fenced,
	}})
	if err != nil || !result.Accepted {
		d.log("state", "join failed", "member", n.id, "reason", result.Reason, "err", err)
	}
}

// reportSuspects appends a crash to the log. Until it returns, the dispatcher holds back the responses to the suspect
// requests.
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

// step passes an event to the lease state machine and executes the resulting actions.
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

// perform executes actions of the lease state machine. The state must not be locked.
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
	d.sendDatagram(to, encoder.Datagram{From: n.id, Lease: data, Load: n.dueLoadReport(to)})
}

// dueLoadReport returns the load to send to a member with a lease message, or nil if the last report is recent. A
// process that no caller uses as its entry gets no responses from other owners, and could not tell without these
// reports that its own load is high.
func (n *incarnation) dueLoadReport(to applier.MemberID) *encoder.Load {
	const interval = time.Second
	now := timer.Now()
	n.loadSentMu.Lock()
	defer n.loadSentMu.Unlock()
	if last, sent := n.loadSentAt[to]; sent && now-last < interval {
		return nil
	}
	if n.loadSentAt == nil || len(n.loadSentAt) >= maxLoadReports {
		n.loadSentAt = map[applier.MemberID]time.Duration{}
	}
	n.loadSentAt[to] = now
	load := n.dispatcher.Load()
	return &load
}

// sendDatagram sends a datagram to a member and adds the offset that this process has applied.
func (d *Daemon) sendDatagram(to applier.MemberID, g encoder.Datagram) {
	var m *applier.Member
	var recipient applier.Member
	d.state.View(func(s *applier.State) {
		g.Applied = s.Applied
		if m = s.Members[to]; m != nil {
			recipient = *m
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
	d.transport.SendDatagram(recipient.Address, data)
}

// tickLease makes the lease state machine renew the lease and detect lapsed promises.
func (d *Daemon) tickLease(ctx context.Context) {
	// This is the largest interval that package leaser allows.
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

// rejoin replaces an incarnation that was removed after a take-over. Its running requests end on their own; their
// responses are refused by the lease check.
func (d *Daemon) rejoin(old *incarnation) {
	d.mu.Lock()
	replaced := d.current == old
	if replaced {
		d.current = nil
	}
	d.mu.Unlock()
	if replaced {
		d.metrics.GetOrCreateCounter("hibiscus_rejoins_total").Inc()
		d.join(old.backend)
	}
}
