//go:build dependencies

// Package dependencies keeps modules in go.mod while the packages that import them are being written.
package dependencies

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/go-kit/log"
	_ "github.com/quic-go/quic-go"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/spf13/cobra"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tailscale/hujson"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
