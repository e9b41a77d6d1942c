// Package wire holds the types that cross a boundary: what users, agents, the cloud, the
// key-value store and the other nodes send and receive, together with the small types for
// ids, versions and times that the rest of the program uses.
//
// The names on the wire are the protocol's. Only the struct tags and the errors about fields
// of a submission use them; everywhere else the program uses the names of the fields. The
// table lists the names that differ, the name on the wire first:
//
//	users       nameId job id            lane class               owner team
//	            shape kind               urgency priority         parts tasks
//	            cards GPUs               ramGb memory             bundle image
//	            kits machine types       site zone                samePlace same zone
//	            apart spread             standby spot allowed     dueS deadline
//	            expectedS expected run time                       snapshotS checkpoint time
//	            snapshotEveryS checkpoint interval
//	agents      host machine             kit machine type         site zone
//	            standby spot             shift agent epoch        tally sequence
//	            baton fencing token      parts, part task(s)      try attempt
//	            warningS spot notice     orders commands          windDownS grace period
//	            reportsTo leader
//	cloud       kits machine types       booking request name     hosts machines
//	            localGb disk             pullGbPerS fetch rate    readyS boot time
//	            rate on-demand price     lowPrice spot price      status listed state
//	key-value   under prefix             ledger revision of all   stamp revision of a key
//	store       permit lease (grant)     drop delete              news events
//	            lifeMs time to live
//
// Values whose names differ: the job kind sweep is a job array, daemon a service, and
// ensemble a gang. A task in the phase pulling fetches its image, and one in the phase
// saving takes a checkpoint. The command halt stops a task.
package wire
