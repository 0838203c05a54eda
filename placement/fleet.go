package placement

// SetNodes takes the number of nodes that share the fleet, as it is known now, this one included.
func (b *Balancer) SetNodes(nodes int) {
	nodes = max(nodes, 1)
	b.quotaPerServer *= float64(b.Nodes) / float64(nodes)
	b.Nodes = nodes
}
