// Package hedger repeats an idempotent call whose answer is overdue, while the earlier attempt may still be answered, and
// returns the first answer. A lost answer therefore costs no more than the time until it is overdue, and a slow party is
// still waited for.
package hedger
