// Command rig plays the platform, the callers and the backend servers for the scripted cases of the second review. The processes
// under test are real ones, started with the command of the deploy file.
package main
