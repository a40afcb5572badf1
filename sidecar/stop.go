package sidecar

import (
	"encoding/json"
	"net/http"
	"time"

	"hibiscusline/registrar"
	"hibiscusline/timer"
)

const (
	// readinessPropagation is how long callers take to notice that the sidecar isn't ready any more.
	readinessPropagation = 2300 * time.Millisecond
	// stopMargin is the part of the grace period that is left unused.
	stopMargin = 500 * time.Millisecond
	// stopPollInterval is how often the sidecar checks whether all requests were answered.
	stopPollInterval = 20 * time.Millisecond
	// answerTime is the time before the end of the grace period at which requests that wait for a server are given up, so
	// that their callers get an answer.
	answerTime = 300 * time.Millisecond
)

// stop reports not ready, serves until callers have noticed, and answers the requests that were already read.
func (a *Sidecar) stop(l listeners) {
	start := timer.Now()
	_ = a.logger.Log("event", "stopping", "unanswered", a.callerServer.InFlight()+a.peerServer.InFlight())
	end := start + time.Duration(a.grace.Load()) - stopMargin
	a.graceEnd.Store(int64(end))
	a.stopping.Store(true)
	wake(a.publishWake)
	a.reportToSources()
	a.callerServer.DisableKeepAlives()
	a.peerServer.DisableKeepAlives()
	time.Sleep(readinessPropagation)
	l.drain()
	a.callerServer.CloseIdle()
	a.peerServer.CloseIdle()
	for timer.Now() < end && a.callerServer.Connections()+a.peerServer.Connections() > 0 {
		if timer.Now() >= end-answerTime {
			a.callerServer.CancelRequests()
			a.peerServer.CancelRequests()
		}
		time.Sleep(stopPollInterval)
	}
	if unanswered := a.callerServer.InFlight() + a.peerServer.InFlight(); unanswered > 0 {
		_ = a.logger.Log("event", "stop_incomplete", "unanswered", unanswered)
	}
}

// serviceTimeMargin is how many times its expected service time a request must have left of the grace period.
const serviceTimeMargin = 4

// limitToGrace returns the time by which a request must be answered, given its deadline and the expected service time,
// which is zero if it is unknown. It reports false if the request may not be passed on. Without a stop, that is the
// deadline. During a stop, the rest of the grace period must cover all of the request's time, or, until callers have had
// the time to notice the stop, a multiple of its service time.
func (a *Sidecar) limitToGrace(deadline, serviceTime time.Duration) (time.Duration, bool) {
	end := time.Duration(a.graceEnd.Load())
	if end == 0 || deadline <= end-answerTime {
		return deadline, true
	}
	now := timer.Now()
	noticed := end - time.Duration(a.grace.Load()) + stopMargin + readinessPropagation
	covered := now < noticed && serviceTime > 0 && now+serviceTimeMargin*serviceTime <= end
	return end - answerTime, covered
}

// dump is the sidecar's state for operators.
type dump struct {
	Name      string             `json:"name"`
	Version   uint64             `json:"configuration"`
	End       uint64             `json:"records_end"`
	Members   []registrar.Member `json:"members"`
	Server    string             `json:"server"`
	State     string             `json:"server_state"`
	Running   int                `json:"running"`
	Waiting   int                `json:"waiting"`
	LeaseLeft string             `json:"lease_left"`
	StoreDown string             `json:"store_down"`
	Slices    map[string]int     `json:"slices"`
	// Expected is how long work is expected to take now, in milliseconds, by service and member.
	Expected map[string]map[string]int64 `json:"expected_ms"`
}

func (a *Sidecar) serveDump(w http.ResponseWriter, _ *http.Request) {
	v := a.registrar.View()
	load := a.executor.Load()
	a.mu.Lock()
	d := dump{
		Name: a.settings.Name, Version: a.version(), End: v.End, Server: a.server.incarnation.Instance,
		State: a.server.state.String(), Running: load.Running, Waiting: load.Waiting,
		LeaseLeft: (a.granter.LeaseEnd() - timer.Now()).String(), StoreDown: a.storeHealth.downFor().String(),
		Slices: map[string]int{}, Expected: map[string]map[string]int64{},
	}
	a.mu.Unlock()
	for _, m := range v.Members {
		d.Members = append(d.Members, m)
	}
	if t := v.Tables[a.settings.Service]; t != nil {
		for o, n := range t.SliceCounts() {
			d.Slices[o.Member] = n
		}
	}
	for service, members := range a.forwarder.Expected() {
		d.Expected[service] = map[string]int64{}
		for member, t := range members {
			d.Expected[service][member] = t.Milliseconds()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d) // A failed write leaves the operator with a truncated response.
}
