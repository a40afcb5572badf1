package validator

import "time"

// Configuration is the set of objects in force. Objects are keyed by name.
type Configuration struct {
	Services   map[string]Service   `json:"services" cbor:"1,keyasint"`
	Ranks      map[string]Rank      `json:"ranks" cbor:"2,keyasint"`
	Rules      []Rule               `json:"rules" cbor:"3,keyasint"`
	KeyRanges  map[string]KeyRange  `json:"key_ranges,omitempty" cbor:"4,keyasint,omitempty"`
	Placements map[string]Placement `json:"placements,omitempty" cbor:"5,keyasint,omitempty"`
	Policy     Policy               `json:"policy" cbor:"6,keyasint"`
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	// Keyed services are divided by key: each key has one owner.
	Keyed bool `json:"keyed" cbor:"1,keyasint"`
	// InitialRanges is the number of equal ranges that the key space of a keyed service starts with.
	InitialRanges int `json:"initial_ranges,omitempty" cbor:"2,keyasint,omitempty"`
	// MaxRequestTime bounds the time that one request may run on a backend server.
	MaxRequestTime Duration `json:"max_request" cbor:"3,keyasint"`
	// IdempotencyWindow is the time for which an idempotency key is remembered. Zero means DefaultIdempotencyWindow.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty" cbor:"4,keyasint,omitempty"`
	// NestedShare is the share of slots that only nested calls may use, from 0 to 0.5. Services that call each other in a
	// circle need one, so that the calls can't wait for the slots that their own callers hold.
	NestedShare float64 `json:"nested_share,omitempty" cbor:"6,keyasint,omitempty"`
	// Placement names the placement rule, or is empty for the default.
	Placement string `json:"placement,omitempty" cbor:"5,keyasint,omitempty"`
}

// DefaultIdempotencyWindow is longer than callers usually go on sending a request again.
const DefaultIdempotencyWindow = 5 * time.Minute

// EffectiveIdempotencyWindow returns the time for which an idempotency key is remembered.
func (s Service) EffectiveIdempotencyWindow() time.Duration {
	if s.IdempotencyWindow == 0 {
		return DefaultIdempotencyWindow
	}
	return s.IdempotencyWindow.Value()
}

// Rank is a class of work. The rank with the lowest Urgency value is served first.
type Rank struct {
	Urgency int `json:"urgency" cbor:"1,keyasint"`
	// Floor is the share of slots, from 0 to 1, that more urgent ranks can't take from this one.
	Floor float64 `json:"floor" cbor:"2,keyasint"`
	// LatencyTarget is the latency within which the rank's requests should be answered.
	LatencyTarget Duration `json:"target" cbor:"3,keyasint"`
	// Weight is the worth of one request answered within the target.
	Weight float64 `json:"weight,omitempty" cbor:"4,keyasint,omitempty"`
}

// Rule gives a rank to the requests of a service that match. The first matching rule applies.
type Rule struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Service string `json:"service" cbor:"2,keyasint"`
	// Method is an HTTP method, or empty for all.
	Method string `json:"method,omitempty" cbor:"3,keyasint,omitempty"`
	// PathPrefix is the prefix that a request's path must have, or empty for all.
	PathPrefix string `json:"path_prefix,omitempty" cbor:"4,keyasint,omitempty"`
	Rank       string `json:"rank" cbor:"5,keyasint"`
	// Repeatable marks requests that may be sent again although their method is not GET, HEAD or OPTIONS.
	Repeatable bool `json:"repeatable,omitempty" cbor:"6,keyasint,omitempty"`
}

// KeyRange names a single key of a keyed service that must be a range of its own, such as a key known to become hot.
type KeyRange struct {
	Service string `json:"service" cbor:"1,keyasint"`
	Key     string `json:"key" cbor:"2,keyasint"`
}

// Placement limits where the ranges of a service are placed.
type Placement struct {
	// Zones lists the availability zones that may own ranges. Empty means all.
	Zones []string `json:"zones,omitempty" cbor:"1,keyasint,omitempty"`
	// MaxMovesPerMinute caps the changes for load by one owner: moves of ranges, and splits. Moves that give a new member
	// its fair share or that empty a zone are not counted. Zero turns all automatic moves off.
	MaxMovesPerMinute int `json:"max_moves_per_minute" cbor:"2,keyasint"`
}

// Policy says who may publish and whether a proposal needs another operator's approval.
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
