package validator

import "time"

// Configuration is a set of objects, keyed by name, and the rules that assign ranks to requests.
type Configuration struct {
	Services   map[string]Service   `json:"services" cbor:"1,keyasint"`
	Ranks      map[string]Rank      `json:"ranks" cbor:"2,keyasint"`
	Rules      []Rule               `json:"rules" cbor:"3,keyasint"`
	KeyRanges  map[string]KeyRange  `json:"key_ranges,omitempty" cbor:"4,keyasint,omitempty"`
	Placements map[string]Placement `json:"placements,omitempty" cbor:"5,keyasint,omitempty"`
	Policy     Policy               `json:"policy" cbor:"6,keyasint"`
}

// Service is a set of backend servers that handle the same requests.
type Service struct {
	// Keyed services are sharded by key: each key has one owner.
	Keyed bool `json:"keyed" cbor:"1,keyasint"`
	// InitialRanges is the number of equal ranges into which the key space of a keyed service is divided at first.
	InitialRanges int `json:"initial_ranges,omitempty" cbor:"2,keyasint,omitempty"`
	// MaxRequestTime bounds the time that one request may run on a backend server.
	MaxRequestTime Duration `json:"max_request" cbor:"3,keyasint"`
	// IdempotencyWindow is the time for which an idempotency key is remembered. Zero means DefaultIdempotencyWindow.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty" cbor:"4,keyasint,omitempty"`
	// NestedShare is the share of slots reserved for nested calls, from 0 to 0.5. Services that call each other in a cycle
	// need it to avoid a deadlock, in which calls wait for the slots that their own callers hold.
	NestedShare float64 `json:"nested_share,omitempty" cbor:"6,keyasint,omitempty"`
	// Placement is the name of the Placement of the service's ranges, or empty for the default.
	Placement string `json:"placement,omitempty" cbor:"5,keyasint,omitempty"`
}

// DefaultIdempotencyWindow is longer than callers usually keep retrying a request.
const DefaultIdempotencyWindow = 5 * time.Minute

// EffectiveIdempotencyWindow returns IdempotencyWindow, or the default if that is zero.
func (s Service) EffectiveIdempotencyWindow() time.Duration {
	if s.IdempotencyWindow == 0 {
		return DefaultIdempotencyWindow
	}
	return s.IdempotencyWindow.Value()
}

// Rank is a priority class of requests. The rank with the lowest Urgency value is served first.
type Rank struct {
	Urgency int `json:"urgency" cbor:"1,keyasint"`
	// Floor is the share of slots, from 0 to 1, that is guaranteed to the rank against more urgent ones.
	Floor float64 `json:"floor" cbor:"2,keyasint"`
	// LatencyTarget is the latency within which the rank's requests should be answered.
	LatencyTarget Duration `json:"target" cbor:"3,keyasint"`
	// Weight is the value of one request that is answered within the target.
	Weight float64 `json:"weight,omitempty" cbor:"4,keyasint,omitempty"`
}

// Rule assigns a rank to matching requests of a service. The first matching rule applies.
type Rule struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Service string `json:"service" cbor:"2,keyasint"`
	// Method is an HTTP method, or empty for all.
	Method string `json:"method,omitempty" cbor:"3,keyasint,omitempty"`
	// PathPrefix is the prefix that a request's path must have, or empty for all.
	PathPrefix string `json:"path_prefix,omitempty" cbor:"4,keyasint,omitempty"`
	Rank       string `json:"rank" cbor:"5,keyasint"`
	// Repeatable marks requests as safe to retry although their method is not GET, HEAD or OPTIONS.
	Repeatable bool `json:"repeatable,omitempty" cbor:"6,keyasint,omitempty"`
}

// KeyRange gives a single key of a keyed service a range of its own, such as a key that is expected to become hot.
type KeyRange struct {
	Service string `json:"service" cbor:"1,keyasint"`
	Key     string `json:"key" cbor:"2,keyasint"`
}

// Placement limits where the ranges of a service are placed.
type Placement struct {
	// Zones lists the availability zones that may own ranges. Empty means all.
	Zones []string `json:"zones,omitempty" cbor:"1,keyasint,omitempty"`
	// MaxMovesPerMinute limits how many moves and splits of ranges one owner makes to balance load. Moves that give a new
	// member its fair share or that empty a zone are not counted. Zero turns all automatic moves off.
	MaxMovesPerMinute int `json:"max_moves_per_minute" cbor:"2,keyasint"`
}

// Policy defines who may publish configurations and whether a proposal needs another operator's approval.
type Policy struct {
	Operators       []string `json:"operators" cbor:"1,keyasint"`
	RequireApproval bool     `json:"require_approval" cbor:"2,keyasint"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// MarshalText writes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}
