package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/carrier"
	"hibiscusline/executor"
	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

const (
	// gossipInterval is how often a sidecar synchronizes with a random other one.
	gossipInterval = 500 * time.Millisecond
	// syncTimeout bounds one synchronization, apart from its wait.
	syncTimeout = 600 * time.Millisecond
	// gossipTimeout bounds one synchronization with a random sidecar. It is longer, so that a sidecar with a saturated link
	// learns of changes.
	gossipTimeout = 1500 * time.Millisecond
	// maxSyncWait bounds how long a sidecar holds a sync request while it has nothing new.
	maxSyncWait = 2 * time.Second
	syncPath    = "/sync"
)

// syncResponse is the response to a sync request between sidecars.
type syncResponse struct {
	_   struct{} `cbor:",toarray"`
	End uint64
	// Age is the time in microseconds from the start of the newest read that returned all records to this response. It
	// is negative if there was no such read.
	Age int64
	// Held is the time in microseconds from the arrival of the request to the time to which Age counts.
	Held    int64
	Entries []registrar.Entry
	Version uint64
	// Document is the configuration, if it is newer than that of the requesting sidecar and either small or requested.
	Document []byte
}

// gossip synchronizes with one random sidecar after another. A sidecar that the store refuses gets updates this way,
// and a sidecar that has just started and knows no others is discovered by them.
func (a *Sidecar) gossip(ctx context.Context) {
	for timer.Sleep(ctx, gossipInterval+rand.N(gossipInterval/4)) {
		a.checkConfigurationAge()
		a.quarantine.Expire(timer.Now())
		a.applyEvacuations(a.evacuations.Expire(timer.Now()), "era")
		peer, found := a.randomPeer()
		if !found {
			continue
		}
		// A single timeout isn't proof of failure: the link of a sidecar that sends downloads may be saturated. It is
		// probed, and its response is still of use.
		check := time.AfterFunc(syncTimeout, func() { a.peers.Check(peer) })
		_, err := a.pull(ctx, pullRequest{peer: peer, bound: a.promises.configuration.Bound(gossipTimeout)})
		if check.Stop() && err != nil && ctx.Err() == nil {
			a.peers.Check(peer)
		}
	}
}

// randomPeer returns a reachable sidecar. Most of those that have stopped as planned are gone for good, and would delay the
// discovery of the others.
func (a *Sidecar) randomPeer() (netip.AddrPort, bool) {
	var running, all []netip.AddrPort
	for name, m := range a.registrar.View().Members {
		if name == a.settings.Name || a.peers.DownFor(m.Peer) > 0 {
			continue
		}
		all = append(all, m.Peer)
		if !m.Stopping {
			running = append(running, m.Peer)
		}
	}
	list := running
	if len(running) == 0 || rand.IntN(stoppedPeerDivisor) == 0 {
		list = all
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.IntN(len(list))], true
}

// stoppedPeerDivisor is the share of the synchronizations, as a divisor, in which sidecars that have stopped as planned count as
// the others. One that starts again while the store is down can't write that it runs.
const stoppedPeerDivisor = 4

func (a *Sidecar) version() uint64 {
	if c := a.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// syncWith fetches and applies the updates of another sidecar.
func (a *Sidecar) syncWith(ctx context.Context, peer netip.AddrPort) error {
	_, err := a.pullFrom(ctx, peer, 0)
	return err
}

// pullFrom fetches and applies the updates of another sidecar, which holds the request for up to the wait while it has
// none. It returns the age of the other sidecar's view of the store, or a negative duration if that is unknown.
func (a *Sidecar) pullFrom(ctx context.Context, peer netip.AddrPort, wait time.Duration) (time.Duration, error) {
	return a.pull(ctx, pullRequest{peer: peer, wait: wait, bound: a.promises.configuration.Bound(wait + syncTimeout)})
}

// pullRequest is a request for the updates of another sidecar.
type pullRequest struct {
	peer  netip.AddrPort
	bound waiter.Bound
	// wait is how long the other sidecar holds the request while it has nothing new.
	wait time.Duration
	// document requests a newer configuration of any size.
	document bool
	// onProgress, if it isn't nil, is called for each part of the response.
	onProgress func()
}

func (a *Sidecar) pull(ctx context.Context, p pullRequest) (time.Duration, error) {
	start, known := timer.Now(), a.registrar.View()
	query := url.Values{
		"from": {strconv.FormatUint(known.End, 10)}, "era": {strconv.FormatUint(known.Era, 10)}, "version": {strconv.FormatUint(a.version(), 10)},
		"peer": {a.own.Peer.String()}, "wait_ms": {strconv.FormatInt(p.wait.Milliseconds(), 10)},
		"document": {strconv.FormatBool(p.document)}, "patches": {"true"},
	}
	a.addReport(query)
	header := http.Header{}
	a.addSuspects(header)
	a.addEvacuations(header)
	a.addUnrecordedLeavings(header)
	r, err := a.peers.ExchangeUntracked(ctx, p.peer, p.bound, &carrier.Request{
		Method: http.MethodGet, Target: syncPath + "?" + query.Encode(), Host: p.peer.String(), Header: header,
		OnProgress: p.onProgress,
	})
	if err != nil {
		return -1, err
	}
	a.observeSuspects(r.Header)
	a.observeLeavings(r.Header, p.peer.String())
	var n syncResponse
	if err := cbor.Unmarshal(r.Body, &n); err != nil {
		return -1, errors.Wrap(err, "decode sync response")
	}
	// The response was created at least Held after the request was sent.
	a.observeEvacuations(r.Header, start+time.Duration(n.Held)*time.Microsecond, p.peer.String())
	end := registrar.Position{Era: headerNumber(r.Header, eraField), Offset: n.End}
	if end.Era > known.Era {
		// The other process has sent all its records.
		a.enterEra(n.Entries, end)
	}
	age, readStart := time.Duration(n.Age)*time.Microsecond, time.Duration(0)
	if n.Age >= 0 && n.End >= a.registrar.View().End {
		// The response was created at least Held after the request was sent. suspectMargin covers the drift of the
		// other clock over that time.
		readStart = start + time.Duration(n.Held)*time.Microsecond - age
	}
	current := a.apply(n.Entries, end, readStart)
	offset := uint64(0)
	if current {
		offset = headerNumber(r.Header, offsetField)
	}
	if len(n.Document) > 0 {
		document, err := a.expandDocument(n.Document, r.Header)
		if err != nil {
			_ = a.logger.Log("event", "configuration_rejected", "source", p.peer, "error", err)
		} else {
			a.applyConfiguration(document, registrar.Position{Era: end.Era, Offset: offset}, p.peer.String())
		}
	}
	a.observeVersion(n.Version, offset, p.peer)
	if !current {
		return -1, nil
	}
	a.adoptConfigurationAge(start, n, r.Header)
	return age, nil
}

// notify makes other sidecars fetch this sidecar's updates without waiting for their next read.
func (a *Sidecar) notify(members []string) {
	v := a.registrar.View()
	for i, name := range members {
		if i == maxNotified {
			return
		}
		if m, known := v.Members[name]; known && name != a.settings.Name && a.peers.DownFor(m.Peer) == 0 {
			go a.refresh(m.Peer)
		}
	}
}

// maxNotified bounds the sidecars that are notified of a change at once. The others learn of it from their reads.
const maxNotified = 8

// refreshInterval is the minimum time between two refreshes by refreshFrom.
const refreshInterval = 100 * time.Millisecond

// refreshFrom synchronizes with a member that has just refused a key.
func (a *Sidecar) refreshFrom(member string) {
	now := timer.Now()
	if last := a.lastRefresh.Load(); now-time.Duration(last) < refreshInterval ||
		!a.lastRefresh.CompareAndSwap(last, int64(now)) {
		return
	}
	a.notify([]string{member})
}

// refresh synchronizes with another sidecar. Failures are only logged, since the next read of the store returns the
// same records.
func (a *Sidecar) refresh(peer netip.AddrPort) {
	if err := a.syncWith(context.Background(), peer); err != nil {
		_ = a.logger.Log("event", "sync_failed", "peer", peer, "error", err)
	}
}

// serveInbound handles requests of other sidecars: forwarded requests and sync requests.
func (a *Sidecar) serveInbound(ctx context.Context, q *carrier.Request) *carrier.Response {
	if q.Header.Get(executor.FieldPrefix+"Rank") == "" {
		return a.serveSync(ctx, q)
	}
	j, err := executor.DecodeJob(q)
	if err != nil {
		return carrier.NewResponse(http.StatusBadRequest, err.Error())
	}
	limit, covered := a.limitToGrace(j.Deadline, a.executor.ServiceTime(j.Rank))
	if !covered {
		return executor.EncodeResult(executor.Result{
			Outcome: executor.NotRun, Reason: executor.Stopping, RetryAfter: stoppingRetryAfter,
		})
	}
	j.Deadline = limit
	return a.awaitLink(ctx, executor.EncodeResult(a.executor.Run(ctx, j)))
}

// stoppingRetryAfter is the retry delay of requests that are refused because this process stops. Others run them.
const stoppingRetryAfter = 50 * time.Millisecond

// serveCaller handles a caller's request.
func (a *Sidecar) serveCaller(ctx context.Context, q *carrier.Request) *carrier.Response {
	return a.awaitLink(ctx, a.forwarder.Handle(ctx, q))
}

// awaitLink waits until a response may use the instance's link. It returns early if the requester disconnects, since
// nobody reads the response then.
func (a *Sidecar) awaitLink(ctx context.Context, r *carrier.Response) *carrier.Response {
	_ = a.link.Acquire(ctx, len(r.Body))
	return r
}

func (a *Sidecar) serveSync(ctx context.Context, q *carrier.Request) *carrier.Response {
	u, err := url.Parse(q.Target)
	if err == nil && u.Path == leavingsPath {
		return a.serveLeavings(q, u.Query().Get("member"))
	}
	if err != nil || u.Path != syncPath {
		return carrier.NewResponse(http.StatusNotFound, "no such path")
	}
	query := u.Query()
	from, err1 := strconv.ParseUint(query.Get("from"), 10, 64)
	version, err2 := strconv.ParseUint(query.Get("version"), 10, 64)
	peer, err3 := netip.ParseAddrPort(query.Get("peer"))
	wait, err4 := strconv.ParseUint(query.Get("wait_ms"), 10, 32)
	document, err5 := strconv.ParseBool(query.Get("document"))
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || err5 != nil {
		return carrier.NewResponse(http.StatusBadRequest, "malformed query")
	}
	a.observeReport(query)
	a.observeSuspects(q.Header)
	a.observeLeavings(q.Header, peer.String())
	// Earlier releases know no eras.
	era, err := strconv.ParseUint(query.Get("era"), 10, 64)
	if err != nil {
		era = 0
	}
	known := registrar.Position{Era: era, Offset: from}
	// The request may have been on its way for a time.
	evacuations, told := a.observeEvacuations(q.Header, q.Received-gossipTimeout, peer.String())
	limit := min(time.Duration(wait)*time.Millisecond, maxSyncWait)
	a.awaitUpdates(ctx, known, version, limit, func() bool { return told && a.evacuations.News(timer.Now(), evacuations) })
	// Earlier releases don't send the parameter patches.
	d := documentQuery{version: version, whole: document, patches: query.Get("patches") == "true"}
	n, header := a.updatesSince(known, q.Received, d)
	sent := registrar.Position{Era: headerNumber(header, eraField), Offset: n.End}
	if known.Compare(sent) > 0 || version > n.Version {
		go func() {
			if a.refreshing.CompareAndSwap(false, true) {
				defer a.refreshing.Store(false)
				a.refresh(peer)
			}
		}()
	}
	r := encodeUpdates(n, header)
	if len(r.Body) < minTurnBytes {
		return a.awaitLink(ctx, r)
	}
	switch {
	case !a.awaitTurn(ctx, len(r.Body), document):
		if headerNumber(header, eraField) != known.Era {
			// Only all records together begin an era.
			header.Del(eraField)
		}
		return encodeUpdates(n.withoutRecords(from), header)
	case a.registrar.View().Position() == sent && a.version() == n.Version:
		return r
	}
	return encodeUpdates(a.updatesSince(known, q.Received, d))
}

// awaitTurn waits until updates of a number of bytes may use the instance's link, and reports whether they may. One with a
// document that was asked for waits until the requester gives up.
func (a *Sidecar) awaitTurn(ctx context.Context, bytes int, document bool) bool {
	if !document {
		turn, cancel := context.WithTimeout(ctx, maxTurnWait)
		defer cancel()
		ctx = turn
	}
	return a.link.AcquireEarly(ctx, bytes)
}

// withoutRecords returns the response of a process whose link is too busy for its updates. It says nothing about the
// records, so it doesn't prove that those of the requester are the newest.
func (n syncResponse) withoutRecords(from uint64) syncResponse {
	n.Entries, n.End, n.Age = nil, from, -1
	if len(n.Document) > maxSyncedPatch {
		n.Document = nil
	}
	return n
}

func encodeUpdates(n syncResponse, header http.Header) *carrier.Response {
	data, err := cbor.Marshal(n)
	if err != nil {
		return carrier.NewResponse(http.StatusInternalServerError, err.Error())
	}
	return &carrier.Response{Status: http.StatusOK, Header: header, Body: data}
}

// minTurnBytes is the size from which updates take turns on the instance's link. A change is sent to all processes that
// wait for one, and at once it would fill a slow link, where requests and the resets of their connections wait behind it.
const minTurnBytes = 2 << 10

// maxTurnWait is how long updates wait for their turn. After that the requester is told that there are none here for it,
// before syncTimeout, since it takes a process that doesn't answer for lost.
const maxTurnWait = syncTimeout * 2 / 3

// awaitUpdates waits up to a limit while this sidecar has the same records and configuration as the requesting one and no other
// news for it.
func (a *Sidecar) awaitUpdates(ctx context.Context, known registrar.Position, version uint64, limit time.Duration, news func() bool) {
	a.waitUntil(ctx, limit, func() bool {
		return a.registrar.View().Position() != known || a.version() != version || a.stopping.Load() || news()
	})
}

// waitUntil waits up to a limit until new records or a new configuration make a condition true.
func (a *Sidecar) waitUntil(ctx context.Context, limit time.Duration, met func() bool) {
	if limit <= 0 {
		return
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		updated := a.updates.wait()
		if met() {
			return
		}
		select {
		case <-updated:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// updatesSince returns the records from a position on, or all if the position is of an earlier era, and the configuration, as the
// query asks for it, for a request that was received at a time. The header says where the store has the configuration.
func (a *Sidecar) updatesSince(known registrar.Position, received time.Duration, q documentQuery) (syncResponse, http.Header) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	// All ages count to the same time as Held. The response takes time to make.
	now := timer.Now()
	v := a.registrar.View()
	n := syncResponse{End: v.End, Age: -1, Held: (now - received).Microseconds(), Version: a.version()}
	if a.caughtUpAt != 0 {
		n.Age = (now - a.caughtUpAt).Microseconds()
	}
	switch {
	case v.Era > known.Era:
		n.Entries = a.registrar.EntriesSince(0)
	case v.Era == known.Era && n.End > known.Offset:
		n.Entries = a.registrar.EntriesSince(known.Offset)
	}
	header := http.Header{}
	if v.Era > 0 {
		header.Set(eraField, strconv.FormatUint(v.Era, 10))
	}
	a.addSuspects(header)
	a.addUnrecordedLeavings(header)
	if c := a.current.Load(); c != nil {
		if age, confirmed := a.configurationAge.Confirmed(now); confirmed && !a.configurationUnreadable.Load() {
			header.Set(ageField, strconv.FormatInt(age.Microseconds(), 10))
		}
		n.Document = a.documentFor(c, q, header)
		if c.offset != 0 && c.era == v.Era {
			header.Set(offsetField, strconv.FormatUint(c.offset, 10))
		}
	}
	// These are at least as new as the confirmation above.
	a.addEvacuations(header)
	return n, header
}

// peerChanged logs that another sidecar became unreachable or reachable.
func (a *Sidecar) peerChanged(peer netip.AddrPort, reachable bool, after time.Duration) {
	event := "peer_lost"
	if reachable {
		event = "peer_regained"
	}
	_ = a.logger.Log("event", event, "peer", peer, "after_ms", after.Milliseconds())
	wake(a.planWake)
}
