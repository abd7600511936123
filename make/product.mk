# Whole-product targets.
.PHONY: demo check programs
demo:
	@scripts/dependencies.sh
	@$(MAKE) -s -j$$(nproc) programs
	@scripts/demo.sh

programs: $(PROGRAMS)

check:
	@scripts/dependencies.sh check
	@$(MAKE) -s -j$$(nproc) all
	@$(MAKE) -s lint
	@$(MAKE) -s test

install: $(PROGRAMS)
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8 \
	    $(DESTDIR)$(PREFIX)/share/doc/cedarwinch $(DESTDIR)$(PREFIX)/lib/systemd/system
	install -m 755 $(BUILD)/cedarwinchd $(BUILD)/cedarwinch $(DESTDIR)$(PREFIX)/bin
	install -m 644 docs/man/cedarwinch.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 docs/man/cedarwinchd.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 README.md LICENSE docs/*.md $(DESTDIR)$(PREFIX)/share/doc/cedarwinch
	install -m 644 etc/cedarwinchd.service $(DESTDIR)$(PREFIX)/lib/systemd/system

.PHONY: spec
spec:
	@spec/check.sh
