/** A rule that a run may break on purpose, to see that its checks notice. */
export enum JointRule {
  /** Endpoints start a task again when its id comes again. */
  EndpointsDedupe = 'endpoints_dedupe',
  /** Each process of an instance has a boot number of its own. */
  BootsDiffer = 'boots_differ',
  /** "Never seen" is said only of tasks that were not seen. */
  FencesAreTrue = 'fences_are_true',
  /** Placements name the process that they are for. */
  PlacementsNameBoots = 'placements_name_boots',
  /** A key is granted once. */
  KeysAreExclusive = 'keys_are_exclusive',
  /** Owners pass on what the endpoint said: what ran is not called "not run". */
  ReportsAreTrue = 'reports_are_true',
  /** Outputs reach the coordinator as the endpoint gave them. */
  OutputsAreUnchanged = 'outputs_are_unchanged',
  /** Every reply reaches its caller once. */
  OneReply = 'one_reply',
  /** Tasks end, at the latest when they are stopped or their lease runs out. */
  TasksEnd = 'tasks_end',
}
