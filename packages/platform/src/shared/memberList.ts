/** Object `members/<failureDomain>`: the processes registered in a failure domain. */
import { z } from 'zod'
import { memberSchema, type Member } from '@buckthorndrift/protocol'
import type { StoredObject } from './objectStore.ts'

export const membersPrefix = 'members/'

/** Layout of the object. */
export const memberListSchema = z.object({ members: z.array(memberSchema).readonly() }).readonly()
export type MemberList = z.infer<typeof memberListSchema>

/** Name of the object of a failure domain. */
export function memberListName (failureDomain: string): string {
  return `${membersPrefix}${failureDomain}`
}

/** Members in the object; none when it is missing or malformed. */
export function membersOf (object: StoredObject | undefined): readonly Member[] {
  return memberListSchema.safeParse(object?.value).data?.members ?? []
}

function isSameProcess (left: Member, right: Member): boolean {
  return left.id === right.id && left.incarnation === right.incarnation
}

/** Registers `self` in place of earlier incarnations; `undefined` when the list shows it as it is. */
export function withMember (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const members = membersOf(object)
  const present = members.find(member => member.id === self.id)
  if (present !== undefined && isSameProcess(present, self) && present.controlUrl === self.controlUrl) return undefined
  return { members: [...members.filter(member => member.id !== self.id), self] }
}

/** Marks this incarnation as leaving; `undefined` when it is not listed or marked already. */
export function withLeaving (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const members = membersOf(object)
  const isListed = members.some(member => isSameProcess(member, self) && !member.leaving)
  if (!isListed) return undefined
  return { members: members.map(member => isSameProcess(member, self) ? { ...member, leaving: true } : member) }
}

/** Removes this incarnation only; `undefined` when it is not listed. */
export function withoutMember (object: StoredObject | undefined, self: Member): MemberList | undefined {
  const members = membersOf(object)
  const others = members.filter(member => !isSameProcess(member, self))
  return others.length === members.length ? undefined : { members: others }
}

/** Applies the VM list: removes members of VMs that are gone, marks those of leaving VMs. `undefined` when nothing changes. */
export function withVmStates (object: StoredObject | undefined, goneVms: ReadonlySet<string>, leavingVms: ReadonlySet<string>): MemberList | undefined {
  const before = membersOf(object)
  const after = before.filter(member => !goneVms.has(member.vm))
    .map(member => leavingVms.has(member.vm) && !member.leaving ? { ...member, leaving: true } : member)
  const isSame = after.length === before.length && after.every((member, index) => member === before[index])
  return isSame ? undefined : { members: after }
}
