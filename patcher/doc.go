// Package patcher encodes a document as the difference to an earlier version of it. Patches are zstd frames whose
// dictionary is the earlier version.
package patcher
