// Command hibiscuslab provides test tools for hibiscusline: emulators of the log service and of backend servers, a load
// generator, experiments and a soak test.
package main
