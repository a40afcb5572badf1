// Package settings holds the example configurations, so that experiments run them from any directory.
package settings

import _ "embed"

// Configurations of the two users of section 1 of the design page, as JSON with comments.
var (
	//go:embed vatilaane.json
	Vatilaane []byte
	//go:embed karri-ridge.json
	KarriRidge []byte
)
