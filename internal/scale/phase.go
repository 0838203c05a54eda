package scale

// recordPhase adds rows for the costs of hollow nodes, real nodes and control servers between two samples, and returns the
// costs of the hollow and the real nodes.
func (r *run) recordPhase(name string, before, after sample) (hollow, real costs) {
	hollow, real = hollowCosts(before, after), realCosts(before, after)
	for _, of := range []struct {
		kind Kind
		costs
	}{{Hollow, hollow}, {Real, real}, {Server, serverCosts(before, after, hollow, real)}} {
		if of.nodes == 0 {
			continue
		}
		total := of.total()
		add := func(cost, unit string, value float64) {
			r.addRow(Row{Kind: of.kind, NodesOfKind: of.nodes, Phase: name, Cost: cost, Unit: unit, Value: value})
		}
		add("cpu", "cores", of.cpu)
		add("memory", "B", of.memory)
		if of.kind == Hollow {
			add("suspicions", "1/s", of.suspicions)
		}
		if of.slope != 0 {
			add("memory_slope", "B", of.slope)
			add("memory_of_process", "B", of.base)
		}
		of.traffic["all"] = total
		for _, kind := range sortedKeys(of.traffic) {
			t := of.traffic[kind]
			add("sent_messages."+kind, "1/s", t.sentMessages)
			add("sent_bytes."+kind, "B/s", t.sentBytes)
			add("received_messages."+kind, "1/s", t.receivedMessages)
			add("received_bytes."+kind, "B/s", t.receivedBytes)
		}
		delete(of.traffic, "all")
		r.reportProgress("%s, %s: %.3f%% of a core, %.1f MB, sent %.2f messages and %.0f bytes a second", name, of.kind, 100*of.cpu,
			of.memory/1e6, total.sentMessages, total.sentBytes)
	}
	return hollow, real
}
