"""Host membership, links between hosts, and load reports of backend servers."""
