// Package bench measures citrond under load and faults and checks histories of its answers.
package bench
