// Package galenahead holds the identifiers, immutable data types, sentinel
// errors and interfaces that the parts of the fleet capacity and maintenance
// manager share. Implementations are in the directories below it.
package galenahead
