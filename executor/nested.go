package executor

import "strconv"

// runningRequests holds the priorities of the running requests, by id.
type runningRequests map[string]int

// RunningPriority returns the priority of a request that the server runs now, and whether it runs one with this id.
func (g *Executor) RunningPriority(id string) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	priority, found := g.running[id]
	return priority, found
}

// admissionRank returns the rank in which a job waits. Nested jobs have ranks of their own, since the priority of the request
// that made them may be more urgent than that of their route.
func admissionRank(j *Job) string {
	if !j.Nested {
		return j.Rank
	}
	return j.Rank + " nested " + strconv.Itoa(j.Priority)
}
