package org.berylwick.daemon.admin;

import org.berylwick.daemon.duty.DrainRecord;
import org.berylwick.daemon.duty.SelfAnnouncement;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Place;
import org.berylwick.lib.TimeSource;

/**
 * The parts of a daemon that operators ask about.
 *
 * @param instance name of the daemon
 * @param place where it runs
 * @param repository the accepted versions
 * @param installed the version in force here
 * @param membership the members known here
 * @param self the own announcement
 * @param drains takes the own backend server out of service and back in
 * @param time clocks
 */
public record AdminContext(
        String instance,
        Place place,
        VersionRepository repository,
        InstalledVersion installed,
        MembershipTable membership,
        SelfAnnouncement self,
        DrainRecord drains,
        TimeSource time) {}
