/** The folder beside a data folder that holds what was synced. */
export function shadowFolderOf(folder: string): string {
  return `${folder}.synced`
}
