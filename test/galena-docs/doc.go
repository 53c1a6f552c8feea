// Package galenadocs contains a test that checks that docs/interfaces.md mentions all
// names in the interfaces of the programs, such as settings, flags and metrics.
package galenadocs
