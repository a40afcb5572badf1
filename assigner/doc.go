// Package assigner decides which backend server owns which keys of a service.
//
// The keys of a service are divided into slices of equal size; only the last may be smaller. A Table records the owner
// and the fencing token of each slice. The slices of one owner are scattered over the keys, so that neighbouring keys
// that become hot together have different owners. A table is one record in the store. It is updated by conditional
// appends that fail if another record was appended meanwhile, so each update is based on the newest table and tokens
// only increase.
//
// A slice changes its owner in one of three ways. The owner sets a target for it, stops serving it and transfers it to
// the target (Release). The incarnation of the owner is known to have ended (Plan). Or the owner is suspected, does not
// refute the suspicion in the store for the duration of a lease, and its lease has expired (Plan).
//
// The package does no I/O. Time is an argument.
package assigner
