package cluster

import "lilaclead/internal/wire"

// DirectLaunch identifies a direct command that carried a launch. Its answer does not end it: the
// network may deliver a copy at any later time, and the agent executes the copy as long as it has
// seen no higher token and no newer epoch. The copy has no effect while the agent lists the
// attempt, and starts the attempt again once the agent has forgotten it.
type DirectLaunch struct {
	Attempt wire.AttemptNumber
	Token   wire.FencingToken
	Epoch   wire.AgentEpoch
}

// acceptedWith reports whether an agent with the given token and epoch accepts the command.
func (l DirectLaunch) acceptedWith(token wire.FencingToken, epoch wire.AgentEpoch) bool {
	return l.Token >= token && l.Epoch >= epoch
}

// RecordDirectLaunch records that a direct command with a launch of the task is sent.
func (m *Machine) RecordDirectLaunch(task wire.TaskID, launch DirectLaunch) {
	if m.directLaunches == nil {
		m.directLaunches = map[wire.TaskID]DirectLaunch{}
	}
	m.directLaunches[task] = launch
}

// DirectLaunchAcceptedWith reports whether an agent with the given token and epoch accepts a copy
// of a direct launch of the task.
func (m *Machine) DirectLaunchAcceptedWith(task wire.TaskID, token wire.FencingToken, epoch wire.AgentEpoch) bool {
	launch, ok := m.directLaunches[task]
	return ok && launch.acceptedWith(token, epoch)
}

// OtherDirectLaunchAcceptedWith reports whether an agent with the given token and epoch accepts a
// copy of a direct launch of another attempt of the task. An agent may drop the exit of that
// attempt when it starts a new one, and the copy would then start the earlier attempt again.
func (m *Machine) OtherDirectLaunchAcceptedWith(task wire.TaskID, attempt wire.AttemptNumber, token wire.FencingToken, epoch wire.AgentEpoch) bool {
	launch, ok := m.directLaunches[task]
	return ok && launch.Attempt != attempt && launch.acceptedWith(token, epoch)
}

// DropRefusedLaunches drops the record of the direct launches that the machine's agent refuses, by
// the token and the epoch that it has shown.
func (m *Machine) DropRefusedLaunches() {
	for task, launch := range m.directLaunches {
		if !launch.acceptedWith(m.Token, m.Epoch) {
			delete(m.directLaunches, task)
		}
	}
}
