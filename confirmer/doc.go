// Package confirmer tracks how old the knowledge of a process is: when the source last confirmed that it is complete.
package confirmer
