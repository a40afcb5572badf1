// Package transporter carries streams and datagrams between processes over QUIC with mutual TLS.
//
// One UDP socket serves all connections of a process, in both directions, so a peer is known by its listening address
// and an incoming connection also serves for calls to that peer. Certificates are checked against the fleet's authority;
// names in them are not, since processes talk by IP number.
package transporter
