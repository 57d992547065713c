#!/usr/bin/env python3
"""Writes one day file for each kind of trouble: make-days.py SITE.toml FOLDER.

The load is that of the site's quiet day, a third higher; each day holds one kind in its variants.
"""
import re
import sys

kinds={
 'burst':'{ at = 10.0, kind = "burst", x = 2.0, for_s = 4.0 }',
 'shift':'{ at = 10.0, kind = "shift", share = 0.8, for_s = 6.0 }',
 'retry_abuse':'{ at = 10.0, kind = "retry_abuse", share = 0.3, x = 3.0, for_s = 5.0 }',
 'give_up':'{ at = 8.0, kind = "give_up", share = 0.3, for_s = 5.0 }, { at = 18.0, kind = "give_up", how = "once", share = 0.3, for_s = 5.0 }',
 'srv_crash':'{ at = 6.0, kind = "srv_crash", share = 0.15, for_s = 4.0 }, { at = 14.0, kind = "srv_crash", share = 0.15, for_s = 4.0, how = "dark" }, { at = 22.0, kind = "srv_crash", share = 0.1, how = "gone" }',
 'srv_slow':'{ at = 10.0, kind = "srv_slow", share = 0.2, x = 5.0, for_s = 6.0 }',
 'srv_cut':'{ at = 6.0, kind = "srv_cut", share = 0.2, for_s = 5.0 }, { at = 16.0, kind = "srv_cut", share = 0.2, for_s = 5.0, how = "some" }',
 'srv_flap':'{ at = 8.0, kind = "srv_flap", share = 0.12, gap_s = 1.4, for_s = 8.0 }',
 'srv_lying_health':'{ at = 5.0, kind = "srv_lying_health", share = 0.12, for_s = 5.0, how = "errors" }, { at = 12.0, kind = "srv_lying_health", share = 0.12, for_s = 5.0, how = "hang" }, { at = 19.0, kind = "srv_lying_health", share = 0.12, for_s = 5.0, how = "bad" }',
 'idle_race':'{ at = 6.0, kind = "idle_race", share = 0.5, x = 250.0, for_s = 12.0 }',
 'bridge_cut':'{ at = 6.0, kind = "bridge_cut", for_s = 5.0 }, { at = 16.0, kind = "bridge_cut", for_s = 6.0 }',
 'add_nodes':'P{ at = 8.0, kind = "add_nodes", share = 0.6 }',
 'srv_grey':'{ at = 8.0, kind = "srv_grey", how = "shed", share = 0.2, x = 0.5, for_s = 6.0 }, { at = 18.0, kind = "srv_grey", how = "shed all", x = 0.55, for_s = 6.0 }',
 'release':'P{ at = 8.0, kind = "release", share = 0.5, x = 1.0, gap_s = 1.0 }',
 'replace_with_reuse':'{ at = 6.0, kind = "replace_with_reuse", share = 0.15 }, { at = 12.0, kind = "replace_with_reuse", share = 0.15, how = "drain" }, { at = 20.0, kind = "replace_with_reuse", share = 0.15, how = "dark" }',
 'scale_out':'P{ at = 10.0, kind = "scale_out", share = 0.3, gap_s = 2.0 }',
 'scale_in':'P{ at = 8.0, kind = "scale_in", share = 0.15 }, { at = 18.0, kind = "scale_in", share = 0.15, how = "spot" }',
 'cold_return':'{ at = 8.0, kind = "cold_return", for_s = 4.0 }, { at = 18.0, kind = "cold_return", for_s = 4.0, how = "dark" }',
 'answer_lost':'{ at = 6.0, kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0 }, { at = 16.0, kind = "answer_lost", how = "reset", share = 0.5, x = 0.05, for_s = 5.0 }',
 'garble':'{ at = 5.0, kind = "garble", share = 0.5, x = 0.05, for_s = 5.0 }, { at = 12.0, kind = "garble", how = "extra", share = 0.5, x = 0.05, for_s = 5.0 }, { at = 18.0, kind = "garble", how = "extra late", share = 0.5, x = 0.05, for_s = 5.0 }, { at = 24.0, kind = "garble", how = "unframed", share = 0.5, x = 0.05, for_s = 5.0 }',
 'node_kill':'{ at = 6.0, kind = "node_kill", on = "core", count = 1, how = "leader" }, { at = 12.0, kind = "node_kill", count = 2, how = "power", for_s = 3.0 }, { at = 20.0, kind = "node_kill", on = "core", count = 1, how = "meet drain", for_s = 3.0 }',
 'node_freeze':'{ at = 8.0, kind = "node_freeze", share = 0.2, for_s = 3.0 }, { at = 18.0, kind = "node_freeze", how = "renewed", for_s = 4.0 }',
 'node_slow':'{ at = 10.0, kind = "node_slow", share = 0.2, x = 5.0, for_s = 6.0 }',
 'clock_step':'{ at = 8.0, kind = "clock_step", share = 0.3, x = 2000.0, for_s = 5.0, how = "ahead" }, { at = 18.0, kind = "clock_step", share = 0.3, x = 2000.0, for_s = 5.0, how = "back" }',
 'roll_term':'P{ at = 8.0, kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.3, how = "busy" }',
 'roll_term_remove':'P{ at = 8.0, kind = "roll_term", share = 0.4, x = 1.0, gap_s = 1.3, how = "remove" }',
 'herd_kill':'{ at = 8.0, kind = "herd_kill", share = 0.6 }, { at = 20.0, kind = "herd_kill", on = "core", how = "off", for_s = 2.0 }',
 'after_ack_kill':'{ at = 8.0, kind = "after_ack_kill", for_s = 3.0 }, { at = 18.0, kind = "after_ack_kill", for_s = 3.0, how = "timed" }',
 'hup':'P{ at = 8.0, kind = "hup", share = 1.0, gap_s = 2.0 }',
 'reset_conns':'{ at = 8.0, kind = "reset_conns", share = 0.4, x = 0.6 }, { at = 18.0, kind = "reset_conns", share = 1.0, x = 1.0 }',
 'zone_loss':'{ at = 8.0, kind = "zone_loss", for_s = 5.0 }, { at = 20.0, kind = "zone_loss", for_s = 5.0 }',
 'core_cut':'{ at = 6.0, kind = "core_cut", count = 2, for_s = 5.0 }, { at = 14.0, kind = "core_cut", count = 1, for_s = 4.0, how = "leader one_way" }, { at = 22.0, kind = "core_cut", count = 1, for_s = 4.0, how = "leader race" }',
 'node_cut':'{ at = 6.0, kind = "node_cut", share = 0.2, for_s = 5.0 }, { at = 14.0, kind = "node_cut", share = 0.2, for_s = 5.0, how = "all" }, { at = 22.0, kind = "node_cut", share = 0.2, for_s = 5.0, how = "servers" }',
 'zone_cut':'{ at = 8.0, kind = "zone_cut", for_s = 5.0 }, { at = 20.0, kind = "zone_cut", for_s = 5.0, how = "one_way" }',
 'region_cut':'{ at = 8.0, kind = "region_cut", for_s = 5.0 }, { at = 20.0, kind = "region_cut", for_s = 5.0, how = "one_way" }',
 'lossy':'{ at = 10.0, kind = "lossy", x = 0.03, for_s = 8.0 }',
 'platform_down':'{ at = 6.0, kind = "platform_down", for_s = 4.5, how = "silent" }, { at = 16.0, kind = "platform_down", for_s = 6.0, how = "reset lapse" }',
 'platform_down_nodes':'{ at = 6.0, kind = "platform_down", for_s = 8.0, how = "nodes busy revoke meet drain", share = 0.35 }, { at = 20.0, kind = "platform_down", for_s = 8.0, how = "nodes many leader meet", share = 0.35 }',
 'platform_slow':'{ at = 10.0, kind = "platform_slow", x = 60.0, for_s = 5.0 }',
 'platform_lost':'{ at = 6.0, kind = "platform_lost", x = 0.35, for_s = 5.0 }, { at = 16.0, kind = "platform_lost", x = 0.35, for_s = 5.0, how = "late" }',
 'platform_compact':'{ at = 6.0, kind = "platform_compact", for_s = 10.0, x = 5.5, how = "drain" }',
 'config_change':'P{ at = 5.0, kind = "config_change", how = "route" }, { at = 11.0, kind = "config_change", how = "weights" }, { at = 17.0, kind = "config_change", how = "timeout" }, { at = 23.0, kind = "config_change", how = "idle" }',
 'config_storm':'P{ at = 8.0, kind = "config_storm", for_s = 6.0, gap_s = 0.33 }',
 'big_config':'P{ at = 8.0, kind = "big_config", count = 350 }',
 'evacuate':'P{ at = 5.0, kind = "evacuate", for_s = 8.0 }, { at = 18.0, kind = "evacuate", for_s = 8.0, how = "warm" }',
}
src=open(sys.argv[1]).read(); out=sys.argv[2]
day=re.search(r'\[\[day\]\]\nname = "quiet-1".*?(?=\n\[\[day\]\]|\Z)',src,re.S).group(0)
body=day.replace('[[day]]\n','')
traffic=re.search(r'traffic = \[.*?\n\]',body,re.S).group(0).replace('per_s = 59.2','per_s = 80.0')
for k,v in kinds.items():
    plan,faults=(v[1:],'') if v.startswith('P') else ('',v)
    seed=1000+len(k)*37
    text=f'name = "{k}"\nslot = "trouble"\nseed = {seed}\none = 0.9\nzero = 0.1\ngoal = {{ floor = 0.1 }}\nlabels = []\nwall = 4.0\nplan = [ {plan} ]\nfaults = [ {faults} ]\n{traffic}\n'
    open(f'{out}/{k}.toml','w').write(text)
