// Package hasher maps request keys to positions in a service's 64-bit key space and defines ranges of positions.
package hasher
