package experimenter

import (
	"fmt"
	"slices"
	"time"

	"hibiscusline/launcher"
	"hibiscusline/validator"
)

// maxUnavailability holds the longest times for which keys of fenced and unfenced servers were not served after one
// kind of fault. The times are meaningless if Keys, the number of measured keys, is 0.
type maxUnavailability struct {
	Keys       int   `json:"keys"`
	FencedMs   int64 `json:"fenced_ms_max"`
	UnfencedMs int64 `json:"unfenced_ms_max"`
}

// timeBound is a measured time and its exclusive upper bound.
type timeBound struct {
	description string
	measuredMs  int64
	limit       time.Duration
}

// lostOwner is a probe of a key that lost its owner by a fault.
type lostOwner struct {
	probe *probe
	fault *fault
}

// ownerLossFaults are the faults after which the owner of keys can't serve them: the loss of its process, of the
// connection to its guardians, or of its backend server.
var ownerLossFaults = []string{
	faultKill, faultFreeze, faultGuardianKilled, faultCutPeers, faultCutBoth, faultCutOneWay, faultServerCrash,
	faultServerFreeze,
}

// unfencedTarget returns the target for unfenced servers. The next owner first waits max_request, since an unfenced
// server may still run earlier requests.
func unfencedTarget(c validator.Configuration) time.Duration {
	return unavailableTarget + c.Services[unfencedService].MaxRequestTime.Value()
}

// availability returns the unavailable times after the loss of an owner, with their bounds.
func (r *faultsResult) availability() []timeBound {
	unfenced := unfencedTarget(faultConfiguration())
	bounds := []timeBound{
		{"key of a killed or frozen owner unavailable", r.UnavailableMs, unavailableTarget},
		{"key of a killed or frozen owner of an unfenced server unavailable", r.UnavailableUnfencedMs, unfenced},
	}
	for _, kind := range []struct {
		description string
		times       maxUnavailability
		unfenced    time.Duration
	}{
		{"owner cut off from its peers", r.CutPeersUnavailable, unfenced},
		{"owner cut off from its peers and the log", r.CutBothUnavailable, unfenced},
		{"owner cut off one way", r.OneWayUnavailable, unfenced},
		{"owner lost with one of its guardians", r.WithGuardianUnavailable, unfenced},
		{"owner with a crashed server", r.ServerCrashUnavailable, unavailableTarget},
		{"owner with a frozen server", r.ServerFreezeUnavailable, unfenced},
	} {
		bounds = append(bounds,
			timeBound{"key of an " + kind.description + " unavailable", kind.times.FencedMs, unavailableTarget},
			timeBound{
				"key of an " + kind.description + " (unfenced) unavailable", kind.times.UnfencedMs, kind.unfenced,
			})
	}
	return bounds
}

// recordOwnerLoss records that a fault is about to take a process away: its guardians, and the probes whose keys it
// owns.
func (r *faultRun) recordOwnerLoss(f *fault, n *launcher.Node) {
	guardians := r.watcher.guardians(n)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostProcesses[f.Node] = f
	if slices.Contains(exclusiveFaults, f.Kind) {
		// Only its backend server is lost: the process still guards others and hands over its keys.
		delete(r.lostProcesses, f.Node)
	}
	for _, g := range guardians {
		index := slices.Index(r.fleet.Nodes, g)
		f.Guardians = append(f.Guardians, index)
		other, lost := r.lostProcesses[index]
		if lost && slices.Contains(r.watcher.guardians(g), n) {
			f.Mutual, other.Mutual = true, true
		}
	}
	for _, p := range r.probes {
		if r.watcher.owner(p.service, p.key) == n {
			r.lostOwners = append(r.lostOwners, lostOwner{p, f})
		}
	}
}

func (r *faultRun) clearOwnerLoss(f *fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lostProcesses, f.Node)
}

// measureAvailability measures how long keys were unavailable after the loss of their owner, and all keys in slots
// whose faults keep all owners. Processes that guarded each other and were lost together are left out.
func (r *faultRun) measureAvailability() {
	for _, l := range r.lostOwners {
		if !l.fault.Mutual {
			r.measureLostOwner(l)
		}
	}
	for _, f := range r.faults {
		ownersKept := !slices.ContainsFunc(r.faults, func(o *fault) bool {
			return o.slot == f.slot && !keepsOwners(o.Kind)
		})
		if keepsOwners(f.Kind) && ownersKept {
			r.measureLiveOwners(f)
		}
	}
}

func (r *faultRun) measureLostOwner(l lostOwner) {
	from, to := l.fault.begin(), l.fault.begin()+slotDuration-time.Second
	for _, o := range r.faults {
		// A new owner can be assigned only while the log is up.
		if isLogOutage(o.Kind) && o.slot == l.fault.slot && o.begin() < to {
			from = max(from, o.end())
		}
	}
	gap := l.probe.longestGap(from, to).Milliseconds()
	r.result.addUnavailability(l.fault.Kind, l.probe.service, gap, r.lostWithGuardian(l.fault))
	l.fault.Result += fmt.Sprintf(" %s/%s unavailable %d ms", l.probe.service, l.probe.key, gap)
	if gap >= unavailableTarget.Milliseconds() {
		l.fault.Result += r.watcher.changesOf(l.probe.service, l.probe.key, l.fault.begin(), to)
	}
	l.fault.Result += ";"
}

// lostWithGuardian reports whether one of the lost owner's guardians was lost in the same slot.
func (r *faultRun) lostWithGuardian(f *fault) bool {
	return slices.ContainsFunc(r.faults, func(o *fault) bool {
		return o != f && o.slot == f.slot && slices.Contains(ownerLossFaults, o.Kind) &&
			slices.Contains(f.Guardians, o.Node)
	})
}

func (r *faultsResult) addUnavailability(kind, service string, ms int64, withGuardian bool) {
	other := map[string]*maxUnavailability{
		faultCutPeers: &r.CutPeersUnavailable, faultCutBoth: &r.CutBothUnavailable,
		faultCutOneWay: &r.OneWayUnavailable, faultServerCrash: &r.ServerCrashUnavailable,
		faultServerFreeze: &r.ServerFreezeUnavailable,
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

// measureLiveOwners measures all keys from the start of a fault that takes no owner away until the end of its slot,
// since an append that the log answered late or not at all can have effects after the fault.
func (r *faultRun) measureLiveOwners(f *fault) {
	// A gap of two probe intervals and the duration of a request is within the resolution of the probes.
	const resolution = 2*probeInterval + 100*time.Millisecond
	to := time.Duration(f.slot+1) * slotDuration
	var longest time.Duration
	for _, p := range r.probes {
		gap := p.longestGap(f.begin(), to)
		longest = max(longest, gap)
		if gap > resolution {
			r.result.LiveUnavailableMs = max(r.result.LiveUnavailableMs, gap.Milliseconds())
			changes := r.watcher.changesOf(p.service, p.key, f.begin(), to)
			f.Result += fmt.Sprintf(" %s/%s unavailable %d ms%s;", p.service, p.key, gap.Milliseconds(), changes)
		}
	}
	f.Result += fmt.Sprintf(" keys of live owners: longest gap %d ms", longest.Milliseconds())
}

func isLogOutage(kind string) bool { return kind == faultLogDown }

func isLogFault(kind string) bool {
	return slices.Contains([]string{faultLogDown, faultLogSlow, faultLogLosesAnswers, faultLogTrims}, kind)
}

// keepsOwners reports whether all owners continue to serve during a kind of fault. They do during faults of the log and
// when one process is cut off from the log.
func keepsOwners(kind string) bool { return isLogFault(kind) || kind == faultCutLog }
