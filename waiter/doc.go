// Package waiter derives how long a process may wait for another party from the promise that rests on the answer. The answer
// may never come, and the promise holds then as well.
package waiter
