package balancer

// SetZoneWeights sets the weight of each zone as an origin of requests, for example the number of processes in it.
func (c *Chooser) SetZoneWeights(weights map[string]int) { c.zoneWeights = weights }

// localShare is the share of a zone's requests that its own members can serve when all zones use their slots evenly.
// Without it, the members of a zone with too few slots would get all its requests until their load exceeds that of the
// others by LocalZoneBias, and each caller sees only its own part of that load.
func (c *Chooser) localShare(candidates []Candidate, zone string) float64 {
	totalWeight := 0
	for _, w := range c.zoneWeights {
		totalWeight += w
	}
	localSlots, allSlots := 0.0, 0.0
	for i := range candidates {
		slots := float64(candidates[i].Slots) * c.speed(candidates[i])
		allSlots += slots
		if candidates[i].Zone == zone {
			localSlots += slots
		}
	}
	if c.zoneWeights[zone] == 0 || allSlots == 0 {
		return 1
	}
	return min(localSlots*float64(totalWeight)/(allSlots*float64(c.zoneWeights[zone])), 1)
}

// spillThreshold is the reported load, as a share of the slots, from which a zone sends the requests beyond its local
// share to other zones. Below it, local members may take more as long as their load score is no higher.
const spillThreshold = 0.5

// localBias returns the bias towards the caller's zone for one request. For the share of requests that the zone can't
// serve, it is zero, or negative if the best local member is busy.
func (c *Chooser) localBias(candidates []Candidate, local *Candidate, zone string) float64 {
	share := c.localShare(candidates, zone)
	switch {
	case share >= 1 || c.random.Float64() < share:
		return c.config.LocalZoneBias
	case float64(local.ReportedInFlight) >= spillThreshold*float64(local.Slots):
		return -c.config.LocalZoneBias
	}
	return 0
}
