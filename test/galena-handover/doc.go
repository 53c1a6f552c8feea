// Package galenahandover contains tests of a change of owner with real processes of galena-fleet and
// instances that the tests stand in for.
package galenahandover
