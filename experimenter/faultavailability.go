package experimenter

import (
	"fmt"
	"slices"
	"time"

	"hibiscusline/launcher"
	"hibiscusline/validator"
)

// unavailable holds the longest times for which keys were not served after one kind of fault, and the number of keys that
// were measured. A time of 0 ms over no keys says nothing.
type unavailable struct {
	Keys       int   `json:"keys"`
	FencedMs   int64 `json:"fenced_ms_max"`
	UnfencedMs int64 `json:"unfenced_ms_max"`
}

// timeBound is a measured time with its bound.
type timeBound struct {
	what      string
	ms        int64
	exclusive time.Duration
}

// lostOwner is a probe whose key's owner was lost by a fault.
type lostOwner struct {
	probe *probe
	fault *fault
}

// lossFaults take the owner of keys away: its process, its connection to its guardians, or its backend server.
var lossFaults = []string{
	faultKill, faultFreeze, faultGuardian, faultCutPeers, faultCutBoth, faultOneWay, faultServerCrash, faultServerFreeze,
}

// unfencedTarget adds the time that a successor of an unfenced server waits to the target.
func unfencedTarget(c validator.Configuration) time.Duration {
	return unavailableTarget + c.Services[unfencedService].MaxRequestTime.Value()
}

// availability returns the times of lost owners with their bounds.
func (r *faultsResult) availability() []timeBound {
	unfenced := unfencedTarget(faultConfiguration())
	bounds := []timeBound{
		{"key of a killed or frozen owner unavailable", r.UnavailableMs, unavailableTarget},
		{"key of a killed or frozen owner of an unfenced server unavailable", r.UnavailableUnfencedMs, unfenced},
	}
	for _, kind := range []struct {
		what     string
		times    unavailable
		unfenced time.Duration
	}{
		{"owner cut off from its peers", r.CutPeersUnavailable, unfenced},
		{"owner cut off from its peers and the log", r.CutBothUnavailable, unfenced},
		{"owner cut off one way", r.OneWayUnavailable, unfenced},
		{"owner lost with one of its guardians", r.WithGuardianUnavailable, unfenced},
		{"owner with a crashed server", r.ServerCrashUnavailable, unavailableTarget},
		{"owner with a frozen server", r.ServerFreezeUnavailable, unfenced},
	} {
		bounds = append(bounds,
			timeBound{"key of an " + kind.what + " unavailable", kind.times.FencedMs, unavailableTarget},
			timeBound{"key of an " + kind.what + " (unfenced) unavailable", kind.times.UnfencedMs, kind.unfenced})
	}
	return bounds
}

// lose remembers the probes whose key's owner is about to be lost.
func (r *faultRun) lose(f *fault, n *launcher.Node) {
	guardians := r.watch.guardians(n)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[f.Node] = f
	if slices.Contains(lonely, f.Kind) {
		// Its process still guards others and hands its keys over.
		delete(r.gone, f.Node)
	}
	for _, g := range guardians {
		index := slices.Index(r.fleet.Nodes, g)
		f.Guardians = append(f.Guardians, index)
		other, lost := r.gone[index]
		if lost && slices.Contains(r.watch.guardians(g), n) {
			f.Mutual, other.Mutual = true, true
		}
	}
	for _, p := range r.probes {
		if r.watch.owner(p.service, p.key) == n {
			r.lost = append(r.lost, lostOwner{p, f})
		}
	}
}

func (r *faultRun) regain(f *fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.gone, f.Node)
}

// judgeAvailability measures the keys of lost owners, and all keys while only the log has a fault.
func (r *faultRun) judgeAvailability() {
	for _, l := range r.lost {
		if !l.fault.Mutual {
			r.judgeLost(l)
		}
	}
	for _, f := range r.faults {
		alone := !slices.ContainsFunc(r.faults, func(o *fault) bool { return o.slot == f.slot && !sparesOwners(o.Kind) })
		if sparesOwners(f.Kind) && alone {
			r.judgeLive(f)
		}
	}
}

func (r *faultRun) judgeLost(l lostOwner) {
	from, to := l.fault.begin(), l.fault.begin()+slotLength-time.Second
	for _, o := range r.faults {
		// A successor can be named only when the log is back.
		if logOutage(o.Kind) && o.slot == l.fault.slot && o.begin() < to {
			from = max(from, o.end())
		}
	}
	worst := l.probe.worst(from, to).Milliseconds()
	r.result.add(l.fault.Kind, l.probe.service, worst, r.lostWithGuardian(l.fault))
	l.fault.Result += fmt.Sprintf(" %s/%s unavailable %d ms", l.probe.service, l.probe.key, worst)
	if worst >= unavailableTarget.Milliseconds() {
		l.fault.Result += r.watch.changesOf(l.probe.service, l.probe.key, l.fault.begin(), to)
	}
	l.fault.Result += ";"
}

// lostWithGuardian reports whether one of an owner's guardians was lost at about the same time.
func (r *faultRun) lostWithGuardian(f *fault) bool {
	return slices.ContainsFunc(r.faults, func(o *fault) bool {
		return o != f && o.slot == f.slot && slices.Contains(lossFaults, o.Kind) && slices.Contains(f.Guardians, o.Node)
	})
}

func (r *faultsResult) add(kind, service string, ms int64, withGuardian bool) {
	other := map[string]*unavailable{
		faultCutPeers: &r.CutPeersUnavailable, faultCutBoth: &r.CutBothUnavailable, faultOneWay: &r.OneWayUnavailable,
		faultServerCrash: &r.ServerCrashUnavailable, faultServerFreeze: &r.ServerFreezeUnavailable,
	}[kind]
	if withGuardian {
		other = &r.WithGuardianUnavailable
	}
	fenced, unfenced := &r.UnavailableMs, &r.UnavailableUnfencedMs
	if other != nil {
		other.Keys++
		fenced, unfenced = &other.FencedMs, &other.UnfencedMs
	}
	if service == unfencedService {
		fenced = unfenced
	}
	*fenced = max(*fenced, ms)
}

// judgeLive measures all keys from a fault that takes no owner away until the end of its slot, since an append that the
// log answered late or not at all shows afterwards.
func (r *faultRun) judgeLive(f *fault) {
	// A gap of two intervals and the time of a request is within the resolution.
	const resolution = 2*probeInterval + 100*time.Millisecond
	to := time.Duration(f.slot+1) * slotLength
	var longest time.Duration
	for _, p := range r.probes {
		worst := p.worst(f.begin(), to)
		longest = max(longest, worst)
		if worst > resolution {
			r.result.LiveUnavailableMs = max(r.result.LiveUnavailableMs, worst.Milliseconds())
			changes := r.watch.changesOf(p.service, p.key, f.begin(), to)
			f.Result += fmt.Sprintf(" %s/%s unavailable %d ms%s;", p.service, p.key, worst.Milliseconds(), changes)
		}
	}
	f.Result += fmt.Sprintf(" keys of live owners: longest gap %d ms", longest.Milliseconds())
}

func logOutage(kind string) bool { return kind == faultLogDown }

func logFault(kind string) bool {
	return slices.Contains([]string{faultLogDown, faultLogSlow, faultLogLoses, faultLogTrims}, kind)
}

// sparesOwners reports whether all owners serve on under a kind of fault: those of the log, and the cut of one process
// from the log.
func sparesOwners(kind string) bool { return logFault(kind) || kind == faultCutLog }
