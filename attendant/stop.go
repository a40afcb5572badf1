package attendant

import (
	"encoding/json"
	"net/http"
	"time"

	"hibiscusline/registrar"
	"hibiscusline/timer"
)

const (
	// noticeTime is how long callers take to see that the process isn't ready any more.
	noticeTime = 2300 * time.Millisecond
	// stopMargin is the part of the grace time that is left unused.
	stopMargin = 500 * time.Millisecond
	// stopPoll is how often the process looks whether all requests are answered.
	stopPoll = 20 * time.Millisecond
)

// stop leaves the ready state, serves until callers have noticed, and answers what was read.
func (a *Attendant) stop(l listeners) {
	began := timer.Now()
	_ = a.logger.Log("event", "stopping", "unanswered", a.callers.Busy()+a.inbound.Busy())
	a.stopping.Store(true)
	signal(a.publish)
	a.callers.Stop()
	a.inbound.Stop()
	time.Sleep(noticeTime)
	_ = l.callers.Close()
	_ = l.inbound.Close()
	a.callers.CloseIdle()
	a.inbound.CloseIdle()
	end := began + time.Duration(a.grace.Load()) - stopMargin
	for timer.Now() < end && a.callers.Busy()+a.inbound.Busy() > 0 {
		time.Sleep(stopPoll)
	}
	if left := a.callers.Busy() + a.inbound.Busy(); left > 0 {
		_ = a.logger.Log("event", "stop_incomplete", "unanswered", left)
	}
}

// dump is the process's state for operators.
type dump struct {
	Name      string             `json:"name"`
	Version   uint64             `json:"configuration"`
	End       uint64             `json:"records_end"`
	Members   []registrar.Member `json:"members"`
	Server    string             `json:"server"`
	State     string             `json:"server_state"`
	Running   int                `json:"running"`
	Waiting   int                `json:"waiting"`
	Entitled  string             `json:"lease_left"`
	StoreDown string             `json:"store_down"`
	Slices    map[string]int     `json:"slices"`
}

func (a *Attendant) serveDump(w http.ResponseWriter, _ *http.Request) {
	v := a.registrar.View()
	load := a.gate.Load()
	a.mu.Lock()
	d := dump{
		Name: a.settings.Name, Version: a.version(), End: v.End, Server: a.server.incarnation.Instance,
		State: a.server.state.String(), Running: load.Running, Waiting: load.Waiting,
		Entitled: (a.granter.LeaseEnd() - timer.Now()).String(), StoreDown: a.storeReach.downFor().String(),
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
	_ = json.NewEncoder(w).Encode(d) // The operator sees a truncated answer.
}
