package balancer

// SetZoneWeights takes the weights of the zones in which requests begin, for example the number of processes in each.
func (c *Chooser) SetZoneWeights(weights map[string]int) { c.demand = weights }

// nearShare is the part of a zone's requests that its own members can take when all zones fill theirs evenly. The members of a
// zone with fewer slots than its part of the demand would otherwise get all its requests up to NearBias beyond the others,
// and callers see only their own share of that.
func (c *Chooser) nearShare(candidates []Candidate, zone string) float64 {
	demand := 0
	for _, w := range c.demand {
		demand += w
	}
	near, all := 0, 0
	for i := range candidates {
		all += candidates[i].Slots
		if candidates[i].Zone == zone {
			near += candidates[i].Slots
		}
	}
	if c.demand[zone] == 0 || all == 0 {
		return 1
	}
	return min(float64(near)*float64(demand)/(float64(all)*float64(c.demand[zone])), 1)
}

// spillAbove is the reported load, as a share of the slots, from which on a zone's members don't get what they can't take on
// average. Below it, they take more as long as they look no busier.
const spillAbove = 0.5

// nearBias is the bias towards the caller's zone for one request. There is none, or one against the zone when its best member
// is busy, for the part of its requests that the zone can't take.
func (c *Chooser) nearBias(candidates []Candidate, near *Candidate, zone string) float64 {
	share := c.nearShare(candidates, zone)
	switch {
	case share >= 1 || c.random.Float64() < share:
		return c.config.LocalZoneBias
	case float64(near.ReportedInFlight) >= spillAbove*float64(near.Slots):
		return -c.config.LocalZoneBias
	}
	return 0
}
