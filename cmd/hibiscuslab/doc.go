// Hibiscuslab runs test tools of hibiscusline: emulators of the log service and of backend servers, and a load generator.
package main
