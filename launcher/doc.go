// Package launcher starts small fleets on loopback for the demo, experiments and integration tests: a log service,
// backend servers, and a hibiscusd beside each of them, in this process or as processes of their own.
package launcher
