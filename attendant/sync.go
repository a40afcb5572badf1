package attendant

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
	"hibiscusline/gatekeeper"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

const (
	// gossipInterval is how often a process synchronizes with another one.
	gossipInterval = 500 * time.Millisecond
	// syncTimeout bounds one synchronization.
	syncTimeout = 600 * time.Millisecond
	// maxSyncWait bounds how long a process waits for news on behalf of another one.
	maxSyncWait = 2 * time.Second
	syncPath    = "/sync"
)

// syncResponse is what one process tells another.
type syncResponse struct {
	_   struct{} `cbor:",toarray"`
	End uint64
	// Age is the time from the start of the newest read that showed that there were no further records to this response, in
	// microseconds. It is negative if there was none.
	Age int64
	// Held is the time from the request to this response, in microseconds.
	Held    int64
	Entries []registrar.Entry
	Version uint64
	// Document is the configuration, if it is newer than the asking process's and small, or was asked for.
	Document []byte
}

// gossip synchronizes with other processes, one at a time. A process that the store turns away learns by it what is new,
// and a process that has just started and knows nobody is found by the others.
func (a *Attendant) gossip(ctx context.Context) {
	for timer.Sleep(ctx, gossipInterval+rand.N(gossipInterval/4)) {
		peer, found := a.randomPeer()
		if !found {
			continue
		}
		if err := a.syncWith(ctx, peer); err == nil || ctx.Err() != nil {
			continue
		}
		// One request that times out says little: the link of a process that sends downloads may be full.
		a.peers.Check(peer)
	}
}

func (a *Attendant) randomPeer() (netip.AddrPort, bool) {
	var list []netip.AddrPort
	for name, m := range a.registrar.View().Members {
		if name != a.settings.Name && a.peers.DownFor(m.Peer) == 0 {
			list = append(list, m.Peer)
		}
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.IntN(len(list))], true
}

func (a *Attendant) version() uint64 {
	if c := a.configDoc.Load(); c != nil {
		return c.version
	}
	return 0
}

// syncWith asks a process for what it knows beyond this one.
func (a *Attendant) syncWith(ctx context.Context, peer netip.AddrPort) error {
	_, err := a.learnFrom(ctx, peer, 0)
	return err
}

// learnFrom asks a process for what it knows beyond this one, and to wait for news up to a time if it knows nothing more. It
// returns how old the process's knowledge of the store was, or a negative time if that is unknown.
func (a *Attendant) learnFrom(ctx context.Context, peer netip.AddrPort, wait time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	began := timer.Now()
	query := url.Values{
		"from": {strconv.FormatUint(a.registrar.View().End, 10)}, "version": {strconv.FormatUint(a.version(), 10)},
		"peer": {a.own.Peer.String()}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		"document": {strconv.FormatBool(a.wantsDocument())},
	}
	q := &carrier.Request{Method: http.MethodGet, Target: syncPath + "?" + query.Encode(), Host: peer.String(), Header: http.Header{}}
	r, err := a.peers.Ask(ctx, peer, q)
	if err != nil {
		return -1, err
	}
	var n syncResponse
	if err := cbor.Unmarshal(r.Body, &n); err != nil {
		return -1, errors.Wrap(err, "response of another process")
	}
	age, proof := time.Duration(n.Age)*time.Microsecond, time.Duration(0)
	if n.Age >= 0 && n.End >= a.registrar.View().End {
		// The response was made at least Held after the request left here. The margin of suspicions covers the drift of the
		// other process's clock over that time.
		proof = began + time.Duration(n.Held)*time.Microsecond - age
	}
	a.apply(n.Entries, n.End, proof)
	if len(n.Document) > 0 {
		a.takeConfiguration(n.Document, peer.String())
	}
	a.hearOfVersion(n.Version)
	return age, nil
}

// notify lets other processes fetch what is new here, so that they needn't wait for their next read.
func (a *Attendant) notify(members []string) {
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

// maxNotified bounds the processes that are told of a change at once. The others learn of it by their reads.
const maxNotified = 8

// refreshInterval bounds how often a process is asked for what it knows beyond this one.
const refreshInterval = 100 * time.Millisecond

// refreshFrom fetches what a process knows that has just refused a key.
func (a *Attendant) refreshFrom(member string) {
	now := timer.Now()
	if last := a.refreshed.Load(); now-time.Duration(last) < refreshInterval || !a.refreshed.CompareAndSwap(last, int64(now)) {
		return
	}
	a.notify([]string{member})
}

// refresh synchronizes with a process. A failure is no matter: the next read of the store brings the same.
func (a *Attendant) refresh(peer netip.AddrPort) {
	if err := a.syncWith(context.Background(), peer); err != nil {
		_ = a.logger.Log("event", "sync_failed", "peer", peer, "error", err)
	}
}

// serveInbound answers other processes.
func (a *Attendant) serveInbound(ctx context.Context, q *carrier.Request) *carrier.Response {
	if q.Header.Get(gatekeeper.FieldPrefix+"Rank") == "" {
		return a.serveSync(ctx, q)
	}
	j, err := gatekeeper.DecodeJob(q)
	if err != nil {
		return carrier.NewResponse(http.StatusBadRequest, err.Error())
	}
	return a.takeTurn(ctx, gatekeeper.EncodeResult(a.gate.Run(ctx, j)))
}

// serveCaller answers a caller.
func (a *Attendant) serveCaller(ctx context.Context, q *carrier.Request) *carrier.Response {
	return a.takeTurn(ctx, a.forwarder.Handle(ctx, q))
}

// takeTurn waits until a response may use the instance's link. When the one who asked has left, nobody reads the response.
func (a *Attendant) takeTurn(ctx context.Context, r *carrier.Response) *carrier.Response {
	_ = a.link.Await(ctx, len(r.Body))
	return r
}

func (a *Attendant) serveSync(ctx context.Context, q *carrier.Request) *carrier.Response {
	u, err := url.Parse(q.Target)
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
	a.awaitNews(ctx, from, version, min(time.Duration(wait)*time.Millisecond, maxSyncWait))
	n := a.newerThan(from, version, document)
	n.Held = (timer.Now() - q.Received).Microseconds()
	if from > n.End || version > n.Version {
		go func() {
			if a.refreshing.CompareAndSwap(false, true) {
				defer a.refreshing.Store(false)
				a.refresh(peer)
			}
		}()
	}
	data, err := cbor.Marshal(n)
	if err != nil {
		return carrier.NewResponse(http.StatusInternalServerError, err.Error())
	}
	return &carrier.Response{Status: http.StatusOK, Header: http.Header{}, Body: data}
}

// awaitNews waits up to a time while the process knows exactly as much as the one that asks.
func (a *Attendant) awaitNews(ctx context.Context, from, version uint64, limit time.Duration) {
	if limit <= 0 {
		return
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		news := a.news.wait()
		if a.registrar.View().End != from || a.version() != version || a.stopping.Load() {
			return
		}
		select {
		case <-news:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// newerThan returns what the process knows beyond an end of the records and a version of the configuration, a large document
// only if it is wanted.
func (a *Attendant) newerThan(from, version uint64, document bool) syncResponse {
	a.applying.Lock()
	defer a.applying.Unlock()
	n := syncResponse{End: a.registrar.View().End, Age: -1, Version: a.version()}
	if a.proof != 0 {
		n.Age = (timer.Now() - a.proof).Microseconds()
	}
	if n.End > from {
		n.Entries = a.registrar.EntriesSince(from)
	}
	if c := a.configDoc.Load(); c != nil && c.version > version && (document || len(c.document) <= smallDocument) {
		n.Document = c.document
	}
	return n
}

// peerChanged logs that another process became unreachable or reachable.
func (a *Attendant) peerChanged(peer netip.AddrPort, reachable bool, after time.Duration) {
	event := "peer_lost"
	if reachable {
		event = "peer_regained"
	}
	_ = a.logger.Log("event", event, "peer", peer, "after_ms", after.Milliseconds())
	signal(a.changed)
}
