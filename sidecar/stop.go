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
)

// stop reports not ready, serves until callers have noticed, and answers the requests that were already read.
func (a *Sidecar) stop(l listeners) {
	start := timer.Now()
	_ = a.logger.Log("event", "stopping", "unanswered", a.callerServer.InFlight()+a.peerServer.InFlight())
	a.stopping.Store(true)
	wake(a.publishWake)
	a.callerServer.DisableKeepAlives()
	a.peerServer.DisableKeepAlives()
	time.Sleep(readinessPropagation)
	_ = l.callers.Close()
	_ = l.peers.Close()
	a.callerServer.CloseIdle()
	a.peerServer.CloseIdle()
	end := start + time.Duration(a.grace.Load()) - stopMargin
	for timer.Now() < end && a.callerServer.InFlight()+a.peerServer.InFlight() > 0 {
		time.Sleep(stopPollInterval)
	}
	if unanswered := a.callerServer.InFlight() + a.peerServer.InFlight(); unanswered > 0 {
		_ = a.logger.Log("event", "stop_incomplete", "unanswered", unanswered)
	}
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
}

func (a *Sidecar) serveDump(w http.ResponseWriter, _ *http.Request) {
	v := a.registrar.View()
	load := a.executor.Load()
	a.mu.Lock()
	d := dump{
		Name: a.settings.Name, Version: a.version(), End: v.End, Server: a.server.incarnation.Instance,
		State: a.server.state.String(), Running: load.Running, Waiting: load.Waiting,
		LeaseLeft: (a.granter.LeaseEnd() - timer.Now()).String(), StoreDown: a.storeHealth.downFor().String(),
		Slices: map[string]int{},
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
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d) // A failed write leaves the operator with a truncated response.
}
