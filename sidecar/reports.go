package sidecar

import (
	"maps"
	"net/url"
	"strconv"
	"strings"

	"hibiscusline/assigner"
	"hibiscusline/executor"
	"hibiscusline/registrar"
)

// Sidecars report the server that they use to each other with their sync requests. A sidecar that got such a report since
// its own start would still know of a leaving that it was asked to keep after that. A process that has just started can
// therefore tell whether all that kept a leaving of its server may have forgotten it.

const (
	// memberParameter and readyParameter name the sender of a sync request and the server that it uses.
	memberParameter, readyParameter = "member", "ready"
	// readyField is the server that the process in question has reported, in the answer to a question about leavings.
	readyField = executor.FieldPrefix + "Ready-Server"
)

// addReport adds the server that this sidecar uses to the query of a sync request.
func (a *Sidecar) addReport(query url.Values) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.server
	// Before other sidecars were asked for leavings, the server may have left although its heartbeats say that it is ready.
	if a.leavingsKnown && s.state == registrar.Ready && !s.unconfirmed {
		query.Set(memberParameter, a.settings.Name)
		query.Set(readyParameter, encodeIncarnation(s.incarnation))
	}
}

// reportToSources synchronizes with the sidecars that the next process of this name will ask for leavings, since some of
// them may have started too recently to have got a report.
func (a *Sidecar) reportToSources() {
	reachable := a.leavingPeers(func(m registrar.Member) bool { return !m.Stopping && a.peers.DownFor(m.Peer) == 0 })
	for _, m := range reachable[:min(leavingSources, len(reachable))] {
		go a.refresh(m.Peer)
	}
}

// observeReport stores the server in the query of another sidecar's sync request. Earlier releases don't send it.
func (a *Sidecar) observeReport(query url.Values) {
	incarnation, found := decodeIncarnation(query.Get(readyParameter))
	members := a.registrar.View().Members
	member := query.Get(memberParameter)
	if _, known := members[member]; !found || !known {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, reported := a.reported[member]; !reported {
		maps.DeleteFunc(a.reported, func(name string, _ assigner.Incarnation) bool {
			_, known := members[name]
			return !known
		})
	}
	a.reported[member] = incarnation
}

// reportOf returns the encoded server that a member has reported, or an empty string.
func (a *Sidecar) reportOf(member string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if incarnation, reported := a.reported[member]; reported {
		return url.QueryEscape(encodeIncarnation(incarnation))
	}
	return ""
}

func encodeIncarnation(i assigner.Incarnation) string {
	return strconv.FormatInt(i.Born, 10) + incarnationSeparator + i.Instance
}

const incarnationSeparator = ":"

func decodeIncarnation(text string) (assigner.Incarnation, bool) {
	born, instance, found := strings.Cut(text, incarnationSeparator)
	number, err := strconv.ParseInt(born, 10, 64)
	return assigner.Incarnation{Instance: instance, Born: number}, found && err == nil
}
