package sidecar

import (
	"net/http"
	"time"

	"hibiscusline/balancer"
	"hibiscusline/evacuator"
	"hibiscusline/executor"
	"hibiscusline/limiter"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
)

// Sidecars tell each other of the evacuated availability zones in the header of their sync requests and responses.

// evacuationsField is the field with the state of the evacuations.
const evacuationsField = executor.FieldPrefix + "Evacuations"

// Shares of the bound of an evacuation, counted from a time at which there was no evacuation: after entryEvacuationShare entries
// choose other servers, and after evacuationShare the server of the zone gets no more requests. Requests for keys continue
// longer, until the keys have moved.
const (
	entryEvacuationShare = 0.4
	evacuationShare      = 0.5
	keyedEvacuationShare = 0.9
)

// evacuationsGrace is how long after its start a sidecar lets nothing reach its server while it knows nothing of evacuations.
// Other processes may be of an earlier release, which can't tell it.
const evacuationsGrace = 2 * time.Second

// addEvacuations sets the field with the evacuations that this sidecar knows.
func (a *Sidecar) addEvacuations(h http.Header) {
	h.Set(evacuationsField, a.evacuations.State().Encode(timer.Now()))
}

// observeEvacuations adopts the evacuations that another sidecar knows, whose ages count to a time, and returns them. It reports
// false if there are none: earlier releases don't send the field.
func (a *Sidecar) observeEvacuations(h http.Header, at time.Duration, source string) (evacuator.State, bool) {
	text := h.Get(evacuationsField)
	if text == "" {
		return evacuator.State{}, false
	}
	s, err := evacuator.Decode(text, at)
	if err != nil {
		_ = a.logger.Log("event", "evacuations_malformed", "source", source, "error", err)
		return evacuator.State{}, false
	}
	first := !a.evacuations.Known()
	a.applyEvacuations(a.evacuations.Merge(timer.Now(), s), source)
	a.announceKnowledge(first)
	return s, true
}

// evacuationKnowledge is what is known of evacuations before a read of the configuration.
type evacuationKnowledge struct {
	// since is the time up to which the state has all records, or zero.
	since time.Duration
	state evacuator.State
}

// evacuationKnowledge returns what is known of evacuations.
func (a *Sidecar) evacuationKnowledge() evacuationKnowledge {
	var k evacuationKnowledge
	now := timer.Now()
	if age, confirmed := a.configurationAge.Confirmed(now); confirmed {
		k.since = now - age
	}
	// The state must not be older than the time.
	k.state = a.evacuations.State()
	return k
}

// applyEvacuationRecords adopts the evacuations among the records of a read of the configuration, given what was known before it.
func (a *Sidecar) applyEvacuationRecords(k evacuationKnowledge, r storeRead, answer storeAnswer) {
	now := timer.Now()
	var records []evacuator.Record
	for _, e := range answer.entries {
		zone, found := platform.EvacuatedZone(e.Key)
		if !found {
			continue
		}
		n := evacuator.Record{Zone: zone, Position: registrar.Position{Era: answer.era, Offset: e.Offset}, Evacuated: len(e.Value) > 0}
		if known, found := k.state.Records[zone]; !found || known.Position != n.Position {
			n.Since = k.since
		}
		records = append(records, n)
	}
	first, end := !a.evacuations.Known(), registrar.Position{Era: answer.era, Offset: answer.next}
	if r.newest {
		a.applyEvacuations(a.evacuations.List(now, end, records), "store")
	} else {
		a.applyEvacuations(a.evacuations.Read(now, registrar.Position{Era: answer.era, Offset: r.from}, end, records), "store")
	}
	a.announceKnowledge(first)
}

// announceKnowledge lets requests reach the server once the evacuations are known for the first time.
func (a *Sidecar) announceKnowledge(first bool) {
	if first && a.evacuations.Known() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.updateExecutor()
	}
}

// knowsEvacuations reports whether the evacuations are known or nobody could tell them.
func (a *Sidecar) knowsEvacuations() bool {
	return a.evacuations.Known() || timer.Now()-a.started > evacuationsGrace
}

// applyEvacuations puts changes of the evacuated zones in force.
func (a *Sidecar) applyEvacuations(changes []evacuator.Change, source string) {
	if len(changes) == 0 {
		return
	}
	now := timer.Now()
	for _, c := range changes {
		r := c.Record
		if !r.Evacuated {
			_ = a.logger.Log("event", "evacuation_ended", "zone", r.Zone, "source", source, "era", r.Position.Era,
				"before", r.Position.Offset)
			continue
		}
		from, keyedFrom := a.evacuationTimes(r)
		_ = a.logger.Log("event", "evacuation_known", "zone", r.Zone, "source", source, "era", r.Position.Era,
			"offset", r.Position.Offset, "in_force_ms", (from - now).Milliseconds(), "keys_in_force_ms", (keyedFrom - now).Milliseconds())
		time.AfterFunc(keyedFrom-now, func() { a.logInForce(r) })
	}
	a.mu.Lock()
	for _, c := range changes {
		if c.Record.Zone == a.settings.Zone && !c.Record.Evacuated {
			// The server may have become cold meanwhile.
			a.assumeCold(now, a.server.service, limiter.Restored)
		}
	}
	a.updateExecutor()
	a.mu.Unlock()
	wake(a.planWake)
	a.updates.send()
}

// logInForce logs that an evacuation is in force, unless it was taken back.
func (a *Sidecar) logInForce(r evacuator.Record) {
	if now, evacuated := a.evacuations.Evacuated(r.Zone); !evacuated || now.Position != r.Position {
		return
	}
	slices := 0
	v := a.registrar.View()
	if t := v.Tables[a.settings.Service]; t != nil {
		for o, n := range t.SliceCounts() {
			if v.Members[o.Member].Zone == r.Zone {
				slices += n
			}
		}
	}
	_ = a.logger.Log("event", "evacuation_in_force", "zone", r.Zone, "offset", r.Position.Offset, "slices_left", slices)
}

// evacuationTimes returns the times from which the servers of an evacuated zone get no requests without a key and none at all. A
// record of unknown age is in force at once.
func (a *Sidecar) evacuationTimes(r evacuator.Record) (time.Duration, time.Duration) {
	bound := float64(a.bounds.Evacuation)
	if r.Since == 0 {
		return 1, 1
	}
	return r.Since + time.Duration(evacuationShare*bound), r.Since + time.Duration(keyedEvacuationShare*bound)
}

// addEvacuation adds the evacuation of the zone, or its end, to the state of the server. The caller holds mu.
func (a *Sidecar) addEvacuation(g *executor.Server) {
	if r, evacuated := a.evacuations.Evacuated(a.settings.Zone); evacuated {
		g.EvacuatedFrom, g.KeyedEvacuatedFrom = a.evacuationTimes(r)
	}
}

// leftByEntries reports whether the servers of a zone get no more requests without a key from this process.
func (a *Sidecar) leftByEntries(zone string) bool {
	r, evacuated := a.evacuations.Evacuated(zone)
	return evacuated && timer.Now() >= r.Since+time.Duration(entryEvacuationShare*float64(a.bounds.Evacuation))
}

// isEvacuated reports whether a zone is evacuated.
func (a *Sidecar) isEvacuated(zone string) bool {
	_, evacuated := a.evacuations.Evacuated(zone)
	return evacuated
}

// refusesKeys reports whether the servers of a zone get no requests at all.
func (a *Sidecar) refusesKeys(zone string) bool {
	r, evacuated := a.evacuations.Evacuated(zone)
	if !evacuated {
		return false
	}
	_, from := a.evacuationTimes(r)
	return timer.Now() >= from
}

// returnsFrom reports whether the evacuation of a zone ended so recently that its servers may still be cold, and whether it ended
// so recently that its owners still get their keys back after that.
func (a *Sidecar) returnsFrom(zone string) (returning, restored bool) {
	at := a.evacuations.RestoredAt(zone)
	if at == 0 {
		return false, false
	}
	cold := balancer.DefaultRampUp
	if s := a.serviceOf(a.settings.Service); s.ColdRate > 0 {
		cold = s.ColdTime
	}
	since := timer.Now() - at
	return since < cold, since >= cold && since < cold+balancer.DefaultRampUp
}
