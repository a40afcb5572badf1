// Package launcher starts small fleets on loopback for the demo, experiments and integration tests: a log service,
// backend servers, and a hibiscusd beside each backend server, in this process or as a separate process.
package launcher
