// Package settings embeds the example configurations of the two users for the demo and the experiments.
package settings

import _ "embed"

// Vatilaane is the configuration of Vatilaane, as JSON with comments.
//
//go:embed vatilaane.json
var Vatilaane []byte

// KarriRidge is the configuration of Karri Ridge, as JSON with comments.
//
//go:embed karri-ridge.json
var KarriRidge []byte
