// Package galenarelay carries calls of the fleet's owner to instances over the other control
// daemons. With many instances the owner spends most of its processor time on the system
// calls of its connections to them. A relay makes such calls for the owner and returns what
// the instances answer; several calls share one message in both directions.
//
// A relay decides nothing and holds no permission. To the owner and the instances it is a
// part of the network: a call through it may get lost, or be carried out although its result
// is lost. What keeps delayed orders harmless, fencing tokens and deadlines on the clock of
// the instance, protects relayed ones alike. In addition a relay drops calls that are older
// than a second, for example after it was suspended.
package galenarelay
