// Package transporter carries streams and datagrams between processes over QUIC with mutual TLS.
//
// A process uses one UDP socket for all its connections in both directions. A peer is therefore identified by its
// listening address, and an incoming connection is also used for calls to that peer. Certificates must be signed by the
// fleet's authority; the names in them are not checked, because processes address each other by IP address.
package transporter
