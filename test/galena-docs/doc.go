// Package galenadocs holds the test that compares docs/interfaces.md with the
// names that the code has.
package galenadocs
