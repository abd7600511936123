# Times without service after a loss; absolute, so not part of the tests: make failover ROUNDS=n.
.PHONY: failover
failover: programs
	@ROUNDS=$(or $(ROUNDS),5) scripts/failover.sh
